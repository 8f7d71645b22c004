# Runs case.py of the folder $1. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
python3 -B "$1/case.py"
status=$?
case $status in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
