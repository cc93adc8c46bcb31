"""A small deployment into which one writer starts cold: what the writers get, and whether the new one falls over."""
import math
from stand import *

COLD_FROM, WARM_AFTER, TIP, WINDOW = 0.26, 14.0, 2.5, 1.5


class Writer(Engine):
    """A writer that can answer `capacity` requests a second when warm. It starts at `cold_from` of that, is warm after
    WARM_AFTER, and falls over by the figure of STANDING: when it gets more than N + 2 x root of N + 2 requests (N under
    30: N + 3 x root of N + 3) in the window, N being the multiple of what it can do at that moment."""

    def __init__(self, fleet, name, capacity, size, tokens, gap_s, cold_from):
        super().__init__(fleet, name, "write", tokens=tokens, gap_s=gap_s, first_s=0.05)
        self.capacity, self.size, self.started, self.fallen, self.most = capacity, size, None, None, (0, 999.0)
        self.behave, self.cold_from = Writer.count, cold_from

    def entry(self):
        return {**super().entry(), "size": self.size}

    def limit(self):
        share = self.cold_from + (1 - self.cold_from) * min(1.0, (now() - self.started) / WARM_AFTER)
        n = TIP * share * self.capacity * WINDOW
        return n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3

    async def count(self, txn, headers, body, reader, writer):
        if self.started is not None and self.fallen is None:
            count = sum(1 for at, _ in self.arrivals if at > now() - WINDOW)
            limit = self.limit()
            if count - limit > self.most[0] - self.most[1]:
                self.most = (count, limit)
            if count > limit and now() - self.started < WARM_AFTER:
                self.fallen = now()
                self.fleet.record.add(f"engine {self.name} falls over: {count} requests in {WINDOW} s, limit {limit:.1f}, "
                                      f"{now() - self.started:.2f} s after its start")
                self.stop()
                return False
        return await self.answer(txn, headers, body, reader, writer)


async def load(record, nodes, rate, until, answers):
    """Clients that send `rate` requests a second, spread over the nodes; each keeps its connections."""
    idle = {node: [] for node in nodes}
    tasks, number = set(), 0

    async def one(node, txn):
        client = idle[node].pop() if idle[node] else Client(record, node.listen)
        answer = await client.ask(txn, "hint", 5000, session=txn)
        answers[txn] = answer
        if client.writer is not None:
            idle[node].append(client)

    begin = now()
    while now() < until:
        txn = f"{number:016x}"
        tasks.add(asyncio.create_task(one(nodes[number % len(nodes)], txn)))
        number += 1
        await asyncio.sleep(max(0.0, begin + number / rate - now()))
    await asyncio.wait(tasks, timeout=20)
    for clients in idle.values():
        for client in clients:
            client.close()


async def play(record, nodes, *, clock_ahead_s, writers, newcomer, rate, quiet_s, tokens, gap_s, cold_from=COLD_FROM):
    """Two nodes; after `quiet_s` the newcomer starts cold, 0.6 s before discovery lists it. Without a quiet time it
    starts before the nodes do, and is in their first list. `clock_ahead_s`: how far the clocks of the nodes' machines
    are ahead of the clock that discovery and the engines read."""
    fleet = Fleet(record)

    def shared_clock_ms():
        return int((time.time() - clock_ahead_s) * 1000)

    engines = [await Engine(fleet, f"r{n}", "read").start() for n in range(3)]
    for n, (capacity, size) in enumerate(writers):
        engines.append(await Writer(fleet, f"w{n}", capacity, size, tokens, gap_s, cold_from).start())
    cold = None

    async def start_newcomer():
        capacity, size = newcomer
        engine = await Writer(fleet, "w-new", capacity, size, tokens, gap_s, cold_from).start()
        engine.started, engine.up_since_ms = now(), shared_clock_ms()
        record.add("engine w-new starts cold")
        return engine

    if quiet_s == 0:
        cold = await start_newcomer()
        engines.append(cold)
    agents = []
    for n in range(2):
        agent = await Discovery(record).start()
        agent.set(*engines)
        agents.append(agent)
        node = Node(record, f"n{n}", conf=settings(balancers=2, me=n, rules__cold_from=cold_from,
                                                    rules__warm_after=WARM_AFTER, rules__tip_multiple=TIP,
                                                    rules__overload_for=WINDOW))
        nodes.append(node)
        full = agent.full()
        members = [entry for entry in full["members"] if entry["id"] != "w-new"]
        node.write_config(agent.address, {**full, "revision": 1, "members": members})
        node.start()
    for node in nodes:
        await node.ready()
    answers = {}
    start = now()
    clients = asyncio.create_task(load(record, nodes, rate, start + quiet_s + 6.0, answers))
    await asyncio.sleep(quiet_s)
    if newcomer is not None and cold is None:
        cold = await start_newcomer()
        await asyncio.sleep(0.6)
        for agent in agents:
            agent.set(cold)
    await clients
    if len(answers) < 0.9 * rate * (quiet_s + 6.0):
        raise CannotRun(f"the machine is too slow for the load: {len(answers)} requests")
    ends = {}
    for answer in answers.values():
        ends[answer.end] = ends.get(answer.end, 0) + 1
    record.add(f"answers: {ends}")
    for engine in engines + ([cold] if cold and cold not in engines else []):
        record.add(f"engine {engine.name} got {len(engine.arrivals)} requests")
    if cold is None:
        return False, f"no new engine; answers {ends}"
    text = f"the new writer got at most {cold.most[0]} in {WINDOW} s where {cold.most[1]:.1f} were allowed; answers {ends}"
    return cold.fallen is not None, text
