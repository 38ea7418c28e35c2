"""LOST: a stream is cut by the planned stop of the instance that took it and of the instance that relays it."""

import json
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import fleet as standins  # noqa: E402

GRACE_S, GAP_S, DEADLINE_S = 8.0, 1.3, 10.0
LOAD_S, FIRST_STOP_S = 26.0, 6.0
STREAMS_PER_S = 16


def case(record, trouble):
    fleet = standins.Fleet(["a", "a", "a", "b", "b", "b", "c", "c", "c"], record)
    try:
        return play(fleet, record, trouble)
    finally:
        fleet.close()


def play(fleet, record, trouble):
    for number in range(6):
        fleet.add_runner(f"i-llm{number}", standins.MODELS, "abc"[number % 3], "events=20", "event_ms=100",
                         "pause_ms=1500")
    stream = standins.route("draft", "streaming", standins.MODELS, 10000, resume_streams=True, sticky_sessions=True,
                            gap_aim_ms=250)
    fleet.publish_config(7, [stream])
    fleet.start()
    time.sleep(2.0)
    balancer = standins.Balancer(fleet)
    results, stops, threads = [], {}, []
    begun = time.monotonic()
    if trouble:
        threads.append(threading.Thread(target=restart_in_turn, args=(fleet, stops), daemon=True))
        threads[0].start()
    number = 0
    while time.monotonic() < begun + LOAD_S:
        number += 1
        threads.append(threading.Thread(target=send, args=(balancer, number, results), daemon=True))
        threads[-1].start()
        time.sleep(1 / STREAMS_PER_S)
    for thread in threads:
        thread.join(DEADLINE_S + 10)
    return judge(fleet, record, results, stops)


def restart_in_turn(fleet, stops):
    """Stops one instance after the other with SIGTERM, and starts each again when it has ended."""
    time.sleep(FIRST_STOP_S)
    for instance in fleet.instances:
        stops[instance.number] = time.monotonic()
        fleet.signal(instance.process, signal.SIGTERM)
        threading.Thread(target=start_again, args=(fleet, instance), daemon=True).start()
        time.sleep(GAP_S)


def start_again(fleet, instance):
    stopped = time.monotonic()
    while instance.process.poll() is None:
        if time.monotonic() > stopped + GRACE_S:
            instance.process.kill()
        time.sleep(0.02)
    fleet.record.note(f"{instance.host} ended {time.monotonic() - stopped:.2f} s after SIGTERM")
    time.sleep(0.5)
    instance.start()


def send(balancer, number, results):
    """Sends a stream to the instance that the balancer chooses; waits until its deadline."""
    instance = balancer.choose("abc"[number % 3])
    request_id = f"{number:08x}"
    path = "/draft/preempted" if number % 2 else "/draft/steady"
    headers = [("Slipturn-Model", "m"), ("Slipturn-Token-Counts", "4960,1000"),
               ("Slipturn-Prompt-Prefix", f"aa01:40,{request_id}:4920")]
    message = standins.request_message("POST", path, request_id, int(DEADLINE_S * 1000), b"draft " * 200, headers)
    try:
        answer = standins.exchange(instance.front, message, DEADLINE_S)
    except OSError as error:
        answer = standins.Answer()
        answer.error = f"no connection: {error}"
    results.append((request_id, instance, answer))


def judge(fleet, record, results, stops):
    """Whether no request was lost, as the rule LOST counts it under planned work; no other disruption is played."""
    runs = {}
    for runner in fleet.runners:
        for at, event, request_id, _ in runner.runs():
            runs.setdefault(request_id, []).append((at, event, runner.name))
    counts, lost = {}, 0
    for request_id, instance, answer in results:
        end = f"{answer.status}, {'whole' if answer.whole else answer.error}"
        counts[end] = counts.get(end, 0) + 1
        if is_lost(instance, answer, runs.get(request_id, []), stops):
            lost += 1
            describe(record, request_id, instance, answer, sorted(runs[request_id]), stops[instance.number])
            record.note(f"      as its instance logged it: {logged(instance, request_id)}")
    for end, count in sorted(counts.items()):
        record.note(f"{count} requests ended with: {end}")
    record.note(f"{len(results)} requests sent, {len(runs)} run, {len(stops)} instances stopped, {lost} requests lost")
    if not any(answer.whole for _, _, answer in results):
        raise standins.CannotRun("no request was served")
    return lost == 0


def is_lost(instance, answer, runs, stops):
    stop = stops.get(instance.number)
    if stop is None or answer.sent_at is None or answer.whole or not runs:
        return False
    in_planned_work = answer.ended_at >= stop and answer.ended_at <= stop + GRACE_S + 1
    in_time = answer.error != "time is up" and answer.ended_at < answer.sent_at + DEADLINE_S - 0.1
    # The runner of the last run was still at work: it found its connection closed by the system.
    runner_broke = max(runs)[1] != "left"
    at_work_at_the_end = answer.sent_at <= stop + 3 and answer.ended_at >= stop + GRACE_S * 5 / 6
    return in_planned_work and in_time and not runner_broke and not at_work_at_the_end


def describe(record, request_id, instance, answer, runs, stop):
    record.note(f"LOST: {request_id} sent to {instance.host} {answer.sent_at - stop:+.3f} s from its SIGTERM; status "
                f"{answer.status}, cut {answer.ended_at - stop:+.3f} s, after {answer.body.count(b'data:')} of 20 events")
    for at, event, name in runs:
        if event != "event":
            record.note(f"      {at - stop:+.3f} s  {event} at {name}")


def logged(instance, request_id):
    """The attempts at a request as the log of its instance shows them, with the instance that relayed each."""
    for line in instance.log_text().splitlines():
        if "request.ended" in line and request_id in line:
            request = json.loads(line)["request"]
            request = json.loads(request) if isinstance(request, str) else request
            return "; ".join(f"{attempt['upstream']}, relayed {attempt.get('relayed', 'by nobody')}: {attempt['end']}"
                             for attempt in request["attempts"])
    return "not found"


standins.run_case(case, FOLDER)
