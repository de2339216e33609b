# Common to the scripts of the second review's cases: finds the programs and runs one case.
# Usage: run_case BINARY, from a script in the case's folder.

run_case() {
    REVIEW_CASE=$(cd "$(dirname "$0")" && pwd)
    REVIEW_ROOT=$(cd "$REVIEW_CASE/../.." && pwd)
    binary="$REVIEW_ROOT/review/standins-2/target/release/$1"
    if [ ! -x "$REVIEW_ROOT/target/release/reelrill" ] || [ ! -x "$binary" ]; then
        echo "build the program and run review/build-2.sh first" >&2
        exit 2
    fi
    export REVIEW_CASE REVIEW_ROOT
    exec "$binary"
}
