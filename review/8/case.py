"""A machine loses its disk, comes back, and fails again while it rejoins; the two others run on undisturbed."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import fleet as lib

# The machine comes back 3 s after its loss, as in the users' days, and fails this long after its start.
DOWN_S = 3.0
FAILS_AFTER_S = 0.15

# How long the core has been undisturbed before the change is sent: twice contact_ms.
CALM_S = 6.0

# How long the change is sent; the rule allows ack_ms and 3 ms for each route.
WITHIN_S = 60


def play(fleet):
    for number in range(3):
        lib.PlainServer(fleet, number, "chan-api")
    for machine in fleet.machines:
        machine.start(bootstrap=True)
    operator = lib.Operator(fleet)
    if operator.put(lib.configuration(1), 30) is None:
        raise lib.Impossible("the first configuration is not acknowledged")
    time.sleep(lib.BOUNDS["catch_up_s"] + 2)
    running = list(fleet.machines)
    if lib.TROUBLE:
        lost = fleet.machines[2]
        lost.kill()
        lost.lose_disk()
        time.sleep(DOWN_S)
        lost.start(bootstrap=False)
        time.sleep(FAILS_AFTER_S)
        lost.kill()
        running.remove(lost)
    time.sleep(CALM_S)
    took = operator.put(lib.configuration(2), WITHIN_S, running)
    for machine in running:
        if machine.process.poll() is not None:
            raise lib.Impossible(f"{machine.name} has ended by itself")
        lib.request(machine)
    limit = lib.BOUNDS["ack_ms"] / 1000 + 0.003
    if took is None or took > limit:
        raise lib.Broken(f"a valid configuration has no ack after {limit} s (waited: {took or WITHIN_S} s)")


lib.run(FOLDER, play)
