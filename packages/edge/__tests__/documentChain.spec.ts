// Guards against news of a departure that is late because of the way that it takes: any collector may be blind, gone or slow, any
// answer may be late or lost, and each host still has to know in time, and how old its own list is.
import { createRandom, type RandomSource } from "@ibislanding/core";
import fc from "fast-check";
import { createDocumentAges } from "../src/createDocumentAges";
import { refreshDueInMs } from "../src/refreshDueInMs";

const SET = "upstreams";
const STEP_MS = 50;

/** Shares of the bound: time-out of a refresh, longest answer of the store, and wait of a collector that reaches it. */
const REFRESH_TIMEOUT_SHARE = 0.1;
const COLLECTOR_WAIT_SHARE = 0.32;

/** Refreshes of a host that may be lost in a row. */
const MAXIMUM_LOST = 2;

interface Host {
    revision: number;
    readonly ages: ReturnType<typeof createDocumentAges>;
    /** Time until which the host learns nothing by itself; its wait for changes is lost. */
    blindUntilMs: number;
    nextReportAtMs: number;
    nextWaitEndAtMs: number;
    refreshEndsAtMs: number | undefined;
    lost: number;
}

/** Answers that are under way, by the time at which they arrive. */
interface Answer {
    readonly atMs: number;
    readonly apply: () => void;
}

/** Plays a group for a time with changes and faults drawn at random; returns what it finds wrong. */
const playGroup = (
    hostCount: number,
    collectorCount: number,
    inForceMs: number,
    random: RandomSource,
): readonly string[] => {
    const time = { nowMs: 0 };
    const clock = { monotonicMs: () => time.nowMs, wallMs: () => time.nowMs } as Parameters<
        typeof createDocumentAges
    >[0];
    /** Time at which each revision was acknowledged; the first one is known from the start. */
    const writtenAtMs = [-Infinity, 0];
    const newest = (): number => writtenAtMs.length - 1;
    const hosts: Host[] = Array.from({ length: hostCount }, () => ({
        revision: 1,
        ages: createDocumentAges(clock, [SET]),
        blindUntilMs: 0,
        nextReportAtMs: random.nextFloat() * 800,
        nextWaitEndAtMs: 0,
        refreshEndsAtMs: undefined,
        lost: 0,
    }));
    hosts.forEach(({ ages }) => ages.confirm(SET, 0));
    let answers: Answer[] = [];
    const wrong: string[] = [];

    /** Lets the store answer a host after a delay, with its state at the time of the call or of the answer. */
    const answerFromStore = (host: Host, delayMs: number): void => {
        const revision = newest();
        const sentAtMs = time.nowMs;
        answers.push({
            atMs: time.nowMs + delayMs,
            apply: () => {
                host.revision = Math.max(host.revision, revision);
                host.ages.confirm(SET, time.nowMs - sentAtMs);
                host.refreshEndsAtMs = undefined;
                host.lost = 0;
            },
        });
    };

    /** Lets a host report to another one, whose answer takes a while or is lost. */
    const report = (host: Host, collector: Host): void => {
        const calledAtMs = time.nowMs;
        const createdAfterMs = random.nextFloat() * 200;
        answers.push({
            atMs: calledAtMs + createdAfterMs,
            apply: () => {
                const { revision } = collector;
                const ages = Object.fromEntries(
                    [...collector.ages.all()].filter(([, ageMs]) => Number.isFinite(ageMs)),
                );
                if (random.nextFloat() < 0.7) {
                    answers.push({
                        atMs: time.nowMs + random.nextFloat() * 200,
                        apply: () => {
                            // The list itself is fetched later, and may never be.
                            const newer = revision > host.revision ? [SET] : [];
                            host.ages.supersede(newer);
                            host.ages.observePeer(
                                { positions: { [SET]: [1, revision] }, ages },
                                time.nowMs - calledAtMs,
                                newer,
                            );
                            if (random.nextFloat() < 0.5) {
                                host.revision = Math.max(host.revision, revision);
                                host.ages.reach(SET, { epoch: 1, revision: host.revision });
                            }
                        },
                    });
                }
            },
        });
    };

    const step = (host: Host, index: number): void => {
        const isCollector = index < collectorCount;
        if (random.nextFloat() < 0.002) {
            host.blindUntilMs = time.nowMs + random.nextFloat() * 20_000;
        }
        if (isCollector && time.nowMs >= host.blindUntilMs && time.nowMs >= host.nextWaitEndAtMs) {
            host.nextWaitEndAtMs = time.nowMs + inForceMs * COLLECTOR_WAIT_SHARE * random.nextFloat();
            answerFromStore(host, random.nextFloat() * 100);
        }
        if (time.nowMs >= host.nextReportAtMs) {
            host.nextReportAtMs = time.nowMs + 490 + random.nextFloat() * 320;
            const any = hosts[random.nextInt(random.nextFloat() < 0.9 ? collectorCount : hostCount)];
            if (any !== undefined && any !== host) {
                report(host, any);
            }
        }
        const isFree = host.refreshEndsAtMs === undefined || time.nowMs >= host.refreshEndsAtMs;
        if (isFree && refreshDueInMs(host.ages.ageMs(SET), inForceMs) <= 0) {
            host.refreshEndsAtMs = time.nowMs + inForceMs * REFRESH_TIMEOUT_SHARE;
            if (host.lost < MAXIMUM_LOST && random.nextFloat() < 0.5) {
                host.lost++;
            }
            else {
                answerFromStore(host, random.nextFloat() * inForceMs * REFRESH_TIMEOUT_SHARE);
            }
        }
    };

    const check = (host: Host, index: number): void => {
        const ageMs = host.ages.ageMs(SET);
        const isTruthful = (writtenAtMs[host.revision + 1] ?? Infinity) >= time.nowMs - ageMs;
        const isInTime = (writtenAtMs[host.revision + 1] ?? Infinity) >= time.nowMs - inForceMs;
        if (!isTruthful || !isInTime) {
            wrong.push(
                `${isTruthful ? "late" : "untruthful"} at ${time.nowMs}: host ${index}, age ${Math.round(ageMs)}`,
            );
        }
    };

    for (; time.nowMs < 15_000; time.nowMs += STEP_MS) {
        if (random.nextFloat() < 0.02) {
            writtenAtMs.push(time.nowMs);
        }
        const due = answers.filter(({ atMs }) => atMs <= time.nowMs);
        answers = answers.filter(({ atMs }) => atMs > time.nowMs);
        due.forEach(({ apply }) => apply());
        hosts.forEach(step);
        hosts.forEach(check);
    }
    return wrong;
};

test.each([[64, 6, 2_500, 12], [64, 6, 4_000, 12], [100, 8, 4_000, 8], [300, 12, 4_000, 4]])(
    "in %i hosts with %i collectors each knows a change within %i ms, and its list is never older than it says",
    (hostCount, collectorCount, inForceMs, numRuns) =>
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 1e6 }),
                seed =>
                    expect(playGroup(hostCount, collectorCount, inForceMs, createRandom(seed)).slice(0, 3)).toEqual([]),
            ),
            { numRuns, seed: 40, endOnFailure: true },
        ),
    60_000,
);
