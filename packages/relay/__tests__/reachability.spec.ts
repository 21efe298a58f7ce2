// Guards against hosts that miss a cut from all upstreams, and against hosts that take crashes, a lost zone, long answers or a
// stalled process for one: their requests would be relayed, and what they see of the upstreams would be ignored.
import { type AvailabilityZone, createFakeClock, createRandom, type UpstreamId } from "@ibislanding/core";
import { createReachabilityMonitor, judgeCutOff, type ProbeTarget } from "../src";
import { createUpstreamReachability } from "../src/decisions/createUpstreamReachability";

const PROBE_TIMEOUT_MS = 500;
const ROUND_TRIP_MS = 5;

interface Upstream extends ProbeTarget {
    state: "up" | "down" | "hanging";
}

const createUpstreams = (count: number, zones: number): Upstream[] =>
    Array.from({ length: count }, (_, index) => ({
        upstreamId: `u-${index}` as UpstreamId,
        availabilityZone: `zone-${index % zones}` as AvailabilityZone,
        address: { ip: "10.0.0.1", port: index },
        state: "up",
    }));

/** Runs a host that sends requests to random upstreams, by default half of them over kept-alive connections. */
const createModel = (
    seed: number,
    upstreams: readonly Upstream[],
    requestsPerS: number,
    answerMs: number,
    keptAliveShare = 0.5,
) => {
    const clock = createFakeClock();
    const random = createRandom(seed);
    const changes: { readonly reaches: boolean; readonly atMs: number; }[] = [];
    const abandoned: { readonly sentAtMs: number; readonly atMs: number; }[] = [];
    const probes: { readonly port: number; readonly atMs: number; }[] = [];
    const monitor = createReachabilityMonitor({
        clock,
        random: createRandom(seed),
        targets: () => upstreams,
        probe: async ({ port }) => {
            probes.push({ port, atMs: clock.monotonicMs() });
            const { state } = upstreams[port] as Upstream;
            await clock.sleep(state === "hanging" ? PROBE_TIMEOUT_MS : ROUND_TRIP_MS);
            return state === "up" ? "listening" : state === "down" ? "refused" : "unknown";
        },
        onChange: reaches => void changes.push({ reaches, atMs: clock.monotonicMs() }),
    });
    const send = async (): Promise<void> => {
        const { upstreamId, address } = upstreams[random.nextInt(upstreams.length)] as Upstream;
        const stateNow = (): Upstream["state"] => (upstreams[address.port] as Upstream).state;
        const sentAtMs = clock.monotonicMs();
        const watch = monitor.watchSend({
            upstreamId,
            mayRepeat: true,
            objectiveMs: 1_000,
            remainingMs: 3_000,
            signal: new AbortController().signal,
        });
        watch.signal.addEventListener("abort", () => void abandoned.push({ sentAtMs, atMs: clock.monotonicMs() }));
        const isKeptAlive = random.nextFloat() < keptAliveShare;
        if (!isKeptAlive && stateNow() !== "up") {
            await clock.sleep(stateNow() === "down" ? ROUND_TRIP_MS : PROBE_TIMEOUT_MS);
            monitor.recordUnreachable(upstreamId);
            watch.end();
            return;
        }
        if (!isKeptAlive) {
            monitor.recordConnection(upstreamId);
        }
        await clock.sleep(answerMs * (0.5 + random.nextFloat()));
        if (stateNow() === "up") {
            watch.recordProgress();
        }
        else {
            await clock.sleep(3_000);
        }
        watch.end();
    };
    return {
        clock,
        monitor,
        changes,
        probes,
        abandoned,
        set: (state: Upstream["state"], affects: (index: number) => boolean = () => true): void =>
            upstreams.filter((_, index) => affects(index)).forEach(upstream => Object.assign(upstream, { state })),
        runMs: async (durationMs: number): Promise<void> => {
            const endMs = clock.monotonicMs() + durationMs;
            while (clock.monotonicMs() < endMs) {
                void send();
                await clock.advance(Math.max(1, 2_000 * random.nextFloat() / requestsPerS));
            }
        },
    };
};

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed + 1);

/** Load of hosts with 6 to 63 upstreams, of which the answers take up to 1.5 s. */
const LOADS = SEEDS.map(seed => {
    const random = createRandom(seed * 7_919);
    return {
        seed,
        count: 6 + random.nextInt(58),
        requestsPerS: 5 + random.nextInt(60),
        answerMs: 20 + random.nextInt(1_000),
    };
});

test.each(["hanging", "down"] as const)(
    "a cut from all upstreams (%s) is noticed in a second, and so is its end",
    async state => {
        for (const { seed, count, requestsPerS, answerMs } of LOADS) {
            const model = createModel(seed, createUpstreams(count, 3), requestsPerS, answerMs);
            await model.runMs(3_000);
            expect(model.changes).toEqual([]);
            const cutAtMs = model.clock.monotonicMs();
            model.set(state);
            await model.runMs(4_000);
            expect(model.changes.map(({ reaches }) => reaches)).toEqual([false]);
            expect((model.changes[0]?.atMs ?? Infinity) - cutAtMs).toBeLessThanOrEqual(1_000 + 1_000 / requestsPerS);
            const hungMs = model.abandoned.map(({ sentAtMs, atMs }) => atMs - Math.max(sentAtMs, cutAtMs));
            expect(Math.max(0, ...hungMs)).toBeLessThanOrEqual(1_200);
            const endAtMs = model.clock.monotonicMs();
            model.set("up");
            await model.runMs(2_000);
            expect(model.changes.map(({ reaches }) => reaches)).toEqual([false, true]);
            expect((model.changes[1]?.atMs ?? Infinity) - endAtMs).toBeLessThanOrEqual(1_000);
        }
    },
);

test("a host with upstreams that are down, or without those of a zone, is not cut off", async () => {
    const falseCuts: number[] = [];
    for (const { seed, count, requestsPerS, answerMs } of LOADS) {
        const random = createRandom(seed);
        const model = createModel(seed, createUpstreams(count, 3), requestsPerS, answerMs);
        model.set("hanging", index => index % 3 === 0);
        await model.runMs(2_000);
        expect(model.changes).toEqual([]);
        // A crash of more than half of the others at the same time.
        const down = new Set(Array.from({ length: count }, (_, index) => index).filter(() => random.nextFloat() < 0.6));
        model.set("down", index => index % 3 !== 0 && index > 2 && down.has(index));
        await model.runMs(3_000);
        const falseCutMs = model.changes.reduce((sum, { reaches, atMs }) => sum + (reaches ? atMs : -atMs), 0);
        expect(model.monitor.reachesUpstreams()).toBe(true);
        expect(falseCutMs).toBeLessThanOrEqual(900);
        falseCuts.push(falseCutMs);
    }
    // With many upstreams, a check may meet only those that are down; the next one probes others.
    expect(falseCuts.filter(durationMs => durationMs > 0).length).toBeLessThanOrEqual(SEEDS.length / 10);
});

test.each([0, 1])(
    "a process that was stalled during a check (after %d timers) does not take itself for cut off",
    async onTime => {
        const clock = createFakeClock();
        const changes: boolean[] = [];
        const [upstream] = createUpstreams(1, 1) as [Upstream];
        let timers = 0;
        const monitor = createReachabilityMonitor({
            clock: {
                ...clock,
                setTimer: (delayMs, callback) => clock.setTimer(delayMs + (timers++ < onTime ? 0 : 2_000), callback),
            },
            random: createRandom(1),
            targets: () => [upstream],
            probe: async () => {
                await clock.sleep(5_000);
                return "unknown";
            },
            onChange: reaches => void changes.push(reaches),
        });
        monitor.recordFailure(upstream.upstreamId);
        await clock.advance(4_900);
        await monitor.checked();
        expect(changes).toEqual([]);
    },
);

// Guards against connections that cost upstreams and hosts more than their requests do.
test("silence leads to one probe a second, and the probes are spread over the upstreams", async () => {
    const model = createModel(3, createUpstreams(12, 3), 1, 20_000);
    await model.runMs(60_000);
    expect(model.changes).toEqual([]);
    expect(model.probes.length).toBeGreaterThan(20);
    const gapsMs = model.probes.slice(1).map(({ atMs }, index) => atMs - (model.probes[index]?.atMs ?? 0));
    expect(Math.min(...gapsMs)).toBeGreaterThanOrEqual(1_000);
    expect(new Set(model.probes.map(({ port }) => port)).size).toBeGreaterThanOrEqual(6);
});

test("a cut is noticed from sends on kept-alive connections alone", async () => {
    for (const { seed, count, requestsPerS, answerMs } of LOADS) {
        const model = createModel(seed, createUpstreams(count, 3), requestsPerS, answerMs, 1);
        await model.runMs(3_000);
        expect(model.changes).toEqual([]);
        const cutAtMs = model.clock.monotonicMs();
        model.set("hanging");
        await model.runMs(3_000);
        expect(model.changes.map(({ reaches }) => reaches)).toEqual([false]);
        // A check that succeeded just before the cut delays the next one, of 400 ms, by a second.
        expect((model.changes[0]?.atMs ?? Infinity) - cutAtMs).toBeLessThanOrEqual(1_500);
    }
});

test("a send without an answer leads to no check before 500 ms", async () => {
    const model = createModel(1, createUpstreams(6, 3), 1, 20_000);
    model.monitor.watchSend({
        upstreamId: "u-0" as UpstreamId,
        mayRepeat: true,
        objectiveMs: 1_000,
        remainingMs: 3_000,
        signal: new AbortController().signal,
    });
    await model.clock.advance(499);
    expect(model.probes).toEqual([]);
    await model.clock.advance(200);
    expect(model.probes.length).toBe(1);
});

test.each(
    [
        ["is refused", "down", 2 * ROUND_TRIP_MS],
        ["does not connect within 200 ms", "hanging", 200 + ROUND_TRIP_MS],
    ] as const,
)("the other upstreams are probed if the first probe %s", async (_, state, endMs) => {
    const upstreams = createUpstreams(6, 1);
    const model = createModel(1, upstreams, 1, 20);
    model.set(state);
    model.monitor.recordFailure("u-0" as UpstreamId);
    expect(model.probes.length).toBe(1);
    const first = model.probes[0]?.port;
    model.set("up", index => index !== first);
    let endedAtMs = 0;
    void model.monitor.checked().then(() => endedAtMs = model.clock.monotonicMs());
    await model.clock.advance(1_000);
    expect(endedAtMs).toBe(endMs);
    expect(model.probes.length).toBe(6);
    expect(model.changes).toEqual([]);
});

test("the first probe goes to an upstream that has not failed lately, also if a whole zone is lost", async () => {
    const model = createModel(1, createUpstreams(9, 3), 1, 20);
    model.set("hanging", index => index % 3 !== 2);
    for (const index of [0, 1, 3, 4, 6, 7]) {
        model.monitor.recordFailure(`u-${index}` as UpstreamId);
    }
    await model.clock.advance(1_000);
    model.probes.length = 0;
    model.monitor.recordFailure("u-0" as UpstreamId);
    await model.clock.advance(100);
    expect(model.probes.map(({ port }) => port % 3)).toEqual([2]);
});

test("nobody is cut off when no host reaches an upstream, or when there is no other host", () => {
    const known = { ownAddress: "a", registered: ["a", "b", "c"], live: ["a", "b", "c"] };
    expect(judgeCutOff({ ...known, unreaching: new Set(["a", "b"]) })).toBe(true);
    expect(judgeCutOff({ ...known, unreaching: new Set(["a", "b", "c"]) })).toBe(false);
    expect(judgeCutOff({ ...known, live: ["a"], unreaching: new Set() })).toBe(true);
    expect(judgeCutOff({ ownAddress: "a", registered: ["a"], live: ["a"], unreaching: new Set() })).toBe(false);
});

// Guards against state that grows with each upstream that is replaced.
test("failures of upstreams that were replaced long ago are forgotten", () => {
    const reachability = createUpstreamReachability(() => 5);
    const ids = Array.from({ length: 1_200 }, (_, index) => `u-${index}` as UpstreamId);
    ids.forEach(reachability.recordFailure);
    expect(ids.filter(id => reachability.lastFailureAtMs(id) === 5)).toEqual(ids.slice(200));
});
