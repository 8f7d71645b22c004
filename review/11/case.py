"""The store comes back from an older copy; a target that drains later must get no new flows all the same."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

from reviewfleet import BOUNDS, BROKEN, HELD, CannotRun, Deployment, play  # noqa: E402
from storecopy import COPY_AGE_S, ask, play_drill, write_entry  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def case():
    deployment = Deployment(HERE)
    world, record = deployment.world, deployment.record
    try:
        await deployment.start(["lookup"], 6)
        main = next(iter(deployment.routes))
        await asyncio.sleep(BOUNDS["touch_s"] + COPY_AGE_S)
        before = await ask(deployment, [main], 2, 20)
        if any(ran is None for _, ran, _ in before[main]):
            raise CannotRun("requests were not served before the disruption")

        await play_drill(deployment, "lookup", TROUBLE)

        zone = deployment.follower_zone()
        leaving = next(target for target in world.targets.values() if target.zone == zone)
        leaving.state = "draining"
        write_entry(leaving)
        acknowledged = time.monotonic()
        record.line(f"store    acknowledged that {leaving.name} is draining, revision {world.store.revision}")
        await asyncio.sleep(BOUNDS["drain_s"] + 0.2)
        after = await ask(deployment, [main], 6, 30)
        reached = [time_ran for runs in world.run_by.values() for time_ran, name in runs
                   if name == leaving.name and time_ran > acknowledged + BOUNDS["drain_s"]]
        text = (f"{len(reached)} of {len(after[main])} requests that were sent later than {BOUNDS['drain_s']} s after the acknowledgement reached the draining "
                f"target; the last one {max(reached) - acknowledged:.1f} s after it" if reached else f"none of {len(after[main])} requests reached the draining target")
        record.line(text)
        print(text)
        return BROKEN if reached else HELD
    finally:
        await deployment.close()


play(case)
