# Runs case.py of the folder $1. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# A signal that ends this script is passed on, so that the case ends the processes that it started.
python3 -B "$1/case.py" &
child=$!
trap 'kill "$child" 2> /dev/null' TERM INT
wait "$child"
status=$?
if kill -0 "$child" 2> /dev/null; then
    wait "$child"
    status=$?
fi
case $status in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
