"""A rolling restart of two machines: a client keeps to the directory's answer, and its long stream
is cut when the second machine ends."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as lib  # noqa: E402

CLIENTS = 6
# Some clients hold an answer of the directory for three times its `ttl_s`.
HOLD_FACTOR = 3
# How long before the end of that time the clients send.
MARGIN_S = 0.05
EVENTS = 70
PAUSE_S = 0.1


async def stream(engine, request):
    return await request.stream(engine, EVENTS, PAUSE_S)


async def resolve_late(system, stopping, others, asked_at):
    """Asks the directories from `asked_at` on, until one names the stopping machine; returns when
    the answer came, and for how long it counts."""
    name = f"{stopping.ip}:{system.ports['front']}"
    await asyncio.sleep(max(0.0, asked_at - time.monotonic()))
    machine = random.choice(others)
    answer = await system.resolve(machine, stopping.zone)
    if answer is None or name not in answer[0]:
        system.record.note(f"the directory of machine {machine.number} doesn't name {name}")
        return None
    system.record.note(f"the directory of machine {machine.number} names {name}, ttl {answer[1]}")
    return time.monotonic(), answer[1]


async def client(system, stopping, others, stopped_at, number):
    resolved = await resolve_late(system, stopping, others, stopped_at + 0.12 + 0.025 * number)
    if resolved is None:
        return None
    at, ttl = resolved
    send_at = at + min(ttl, lib.BOUNDS["ttl_max_s"]) * HOLD_FACTOR - MARGIN_S
    await asyncio.sleep(send_at - time.monotonic())
    attempt = system.new_id()
    system.plays[attempt] = stream
    sent_after = time.monotonic() - stopped_at
    answer = await system.send(stopping.address("front"), "/commentary/a/", attempt,
                               deadline_ms=15000)
    return sent_after, answer


async def case(system, trouble):
    first = await system.leader()
    second = next(machine for machine in system.machines if not machine.has_disk)
    others = [machine for machine in system.machines if machine not in (first, second)]
    if trouble:
        # The second machine gets its SIGTERM once the first one has ended.
        first.signal(signal.SIGTERM)
        if not await first.ended(lib.BOUNDS["grace_s"]):
            raise lib.CannotRun("the first machine has not ended in its grace time")
        second.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    clients = [client(system, second, others, stopped_at, number) for number in range(CLIENTS)]
    restart = asyncio.create_task(restart_later(first)) if trouble else None
    results = [result for result in await asyncio.gather(*clients) if result is not None]
    if restart is not None:
        await restart
    if not results:
        raise lib.CannotRun("no directory named the second machine after its SIGTERM")
    broken = 0
    for sent_after, answer in results:
        # The rule excuses requests sent no later than 3 s after the SIGTERM.
        late = sent_after > 3.0
        ran = [run for _, run in system.runs(answer.id)]
        cut = bool(ran) and not answer.whole
        system.record.note(
            f"request {answer.id}: sent {sent_after:.3f} s after the SIGTERM, run {len(ran)} times, "
            f"{'cut' if cut else answer}")
        broken += cut and late
    print(f"{len(results)} requests, {broken} of them sent later than 3 s after the SIGTERM, passed "
          "on to an engine, and cut")
    return broken > 0


async def restart_later(machine):
    await asyncio.sleep(0.5)
    machine.start()


if __name__ == "__main__":
    sys.exit(lib.main(os.path.join(HERE, "record.txt"), case, disks=3, others=3))
