"""The store comes back from an older copy; a configuration written later has to come into force all the same."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from reviewfleet import BOUNDS, BROKEN, HELD, CannotRun, Deployment, number, play  # noqa: E402
from storecopy import COPY_AGE_S, ask, play_drill  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def case():
    deployment = Deployment(HERE)
    try:
        await deployment.start(["lookup"], 6)
        main = next(iter(deployment.routes))
        dropped, added = (number("127.90.0.8"), 443), (number("127.90.0.9"), 443)
        deployment.routes[dropped] = "lookup"
        deployment.write_config()
        await asyncio.sleep(BOUNDS["touch_s"] + COPY_AGE_S)
        before = await ask(deployment, [main, dropped], 2, 20)
        if any(ran is None for results in before.values() for _, ran, _ in results):
            raise CannotRun("requests were not served before the disruption")

        await play_drill(deployment, "lookup", TROUBLE)

        del deployment.routes[dropped]
        deployment.routes[added] = "lookup"
        acknowledged = deployment.write_config()
        await asyncio.sleep(BOUNDS["config_s"] + 0.2)
        after = await ask(deployment, [main, dropped, added], 6, 30)

        def sent_late(route):
            return [it for it in after[route] if it[0] > acknowledged + BOUNDS["config_s"]]

        ran = [it for it in sent_late(dropped) if it[1] is not None]
        unserved = [it for it in sent_late(added) if it[1] is None]
        text = (f"sent later than {BOUNDS['config_s']} s after the acknowledgement: {len(ran)} of {len(sent_late(dropped))} requests on the dropped route "
                f"ran, {len(unserved)} of {len(sent_late(added))} on the added route did not, "
                f"{sum(it[1] is not None for it in sent_late(main))} of {len(sent_late(main))} on the unchanged route did")
        deployment.record.line(text)
        print(text)
        return BROKEN if ran else HELD
    finally:
        await deployment.close()


play(case)
