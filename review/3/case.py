"""An engine falls silent in the middle of a stream that may be resumed, as it does when it has put
the request back. The machine continues the request at another engine while the first one is still
working on it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as lib  # noqa: E402

STREAMS = 6
EVENTS = 20
PAUSE_S = 0.08
# A client of this route waits for 3.2 s: eight times the longest pause of an answer in time.
SILENCE_S = 2.9
# For how long the first engine may still work on a request that another one continues.
OVERLAP_S = 0.4


def play(system, silence, work):
    async def stream(engine, request):
        """A chunked stream of events that goes on after Last-Event-Id. The line end that closes a
        chunk follows as a write of its own. The engine learns that its caller has left when it next
        writes an event."""
        first = int(request.headers.get("last-event-id", "0"))
        begun = system.record.now()
        writer = request.writer
        writer.write(request.head(
            200, engine, f"X-Response-Signature: {engine.name}.{request.id}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
        try:
            for number in range(first + 1, EVENTS + 1):
                if request.reader.at_eof():
                    raise ConnectionError("the caller has left")
                event = f"id: {number}\ndata: {request.id} {number}/{EVENTS}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event)
                await writer.drain()
                await asyncio.sleep(0.01)
                writer.write(b"\r\n")
                await writer.drain()
                is_put_back = first == 0 and number == EVENTS // 2
                await asyncio.sleep(silence if is_put_back else PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            work.append((request.id, engine.name, begun, system.record.now()))
        return "whole"

    return stream


async def case(system, trouble):
    work = []
    requests = []
    for number in range(STREAMS):
        attempt = system.new_id()
        system.plays[attempt] = play(system, SILENCE_S if trouble else PAUSE_S, work)
        machine = system.machines[number % len(system.machines)]
        requests.append(asyncio.create_task(system.send(
            machine.address("front"), "/digest/a/", attempt, deadline_ms=15000)))
    answers = await asyncio.gather(*requests)
    # Engines that have not noticed yet that their callers have left.
    await asyncio.sleep(1.5)
    broken = 0
    for answer in answers:
        runs = sorted(run for run in work if run[0] == answer.id)
        runs.sort(key=lambda run: run[2])
        overlaps = [before[3] - after[2] for before, after in zip(runs, runs[1:])]
        system.record.note(f"request {answer.id}: {answer}; run at "
                           + ", ".join(f"{name} from {begun:.3f} to {ended:.3f}"
                                       for _, name, begun, ended in runs))
        broken += any(overlap > OVERLAP_S for overlap in overlaps)
    print(f"{broken} of {STREAMS} requests continued at another engine while the former one worked "
          f"on them for more than {OVERLAP_S} s")
    return broken > 0


if __name__ == "__main__":
    sys.exit(lib.main(os.path.join(HERE, "record.txt"), case, disks=3, others=0))
