# Shared by the cases' run.sh. run_case FOLDER DRIVER runs a driver with a time limit, ends what it leaves, and returns
# the case's exit code.

run_case() {
    local here=$1 driver=$2 code
    root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
    driver=$root/review/standins/target/release/$driver
    if [ ! -x "$root/target/release/reelrill" ] || [ ! -x "$driver" ]; then
        echo "build first: the deploy file's command, then review/build.sh" >&2
        return 2
    fi
    work=$(mktemp -d)
    trap 'end_case' EXIT
    trap 'kill -TERM "$driver_pid" 2>/dev/null; wait "$driver_pid"; exit 2' INT TERM
    ROOT=$root WORK=$work RECORD=$here/record.txt timeout --kill-after=2 116 "$driver" &
    driver_pid=$!
    wait "$driver_pid"
    code=$?
    driver_pid=
    [ "$code" -le 1 ] || code=2
    return "$code"
}

# Ends the routers that the driver could not end, by their ids, and removes the temporary folder.
end_case() {
    [ -z "$driver_pid" ] || kill -KILL "$driver_pid" 2>/dev/null || true
    for file in "$work"/*.pid; do
        [ -e "$file" ] || continue
        pid=$(cat "$file")
        if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$root/target/release/reelrill" ]; then
            kill -KILL "$pid" 2>/dev/null || true
        fi
    done
    rm -rf "$work"
}
