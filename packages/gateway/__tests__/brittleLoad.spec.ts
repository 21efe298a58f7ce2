// Guards the promise over all hosts: at twice its load, a brittle upstream rejects at most `N` requests in any second, from
// one second after the first statement, while hosts know each other's load only from reports that are 0.3 to 2 s old.
import { createFakeClock, createHasher, createRandom, type ServiceName } from "@ibislanding/core";
import { createStoredUpstream } from "../../edge/__tests__/support/startTestHost";
import type { BrittleRow } from "../src/brittle/brittleRow";
import { createBrittleUpstreams } from "../src/brittle/createBrittleUpstreams";

interface Case {
    readonly hosts: number;
    readonly upstreams: number;
    readonly slots: number;
    readonly rejectionsPerS: number;
    /** Mean time for which a request takes a slot. */
    readonly workMs: number;
    readonly reportAgeMs: number;
    /** Hosts that half of the hosts believe to be gone. */
    readonly disputedHosts?: number;
    /** Time at which the first upstream crashes. */
    readonly crashAtMs?: number;
    /** Least share of the slots in use; two thirds if undefined. */
    readonly minimumShare?: number;
    /** Time for which the first upstream answers nothing. */
    readonly silentMs?: readonly [fromMs: number, untilMs: number];
}

const TICK_MS = 10;
const REPORT_MS = 300;
const MINIMUM_REPORT_AGE_MS = 300;
const STATED_AT_MS = 1_500;
const END_MS = 11_500;
const WAIT_MS = 300;
/** Time until a forwarded request is confirmed at the other host: two round trips. */
const FORWARD_MS = 20;
const PAUSE_MS = 1_000;
const DOWN_MS = 2_000;
/** `BRITTLE_SEED` sets another one. */
const SEED = Number(process.env["BRITTLE_SEED"] ?? 1);

const SHARED_MS = 1_000_000;
const SERVICE = "orders" as ServiceName;

interface Run {
    readonly host: number;
    readonly excluded: readonly number[];
    readonly send: ReturnType<ReturnType<typeof createBrittleUpstreams>["trackSend"]>;
    endsAtMs: number;
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const simulate = async (options: Case, seed: number) => {
    const {
        hosts,
        slots,
        workMs,
        rejectionsPerS,
        disputedHosts = 0,
        silentMs: [silentFromMs, silentUntilMs] = [0, 0],
    } = options;
    let nowMs = 0;
    const clock = { ...createFakeClock(), monotonicMs: () => nowMs };
    const hasher = await createHasher();
    const random = createRandom(seed);
    const names = Array.from({ length: hosts }, (_, index) => `10.0.${seed}.${index}:7000`);
    const upstreams = Array.from({ length: options.upstreams }, (_, index) => ({
        index,
        record: { ...createStoredUpstream(`u-${seed}-${index}`, 1), service: SERVICE, slots },
        runs: [] as Run[],
        arriving: [] as Run[],
        rejectedAtMs: [] as number[],
        busy: [] as number[],
        isDown: false,
    }));
    const records = upstreams.map(({ record }) => record);
    const group = names.map((ownAddress, host) => ({
        host,
        brittle: createBrittleUpstreams({
            clock,
            hasher,
            sharedNowMs: () => SHARED_MS + nowMs,
            ownAddress,
            hostAddresses: () => host % 2 === 0 ? names : names.slice(disputedHosts),
            upstreamsOf: () => records,
        }),
        own: records.map(() => 0),
        peers: records.map(() => 0),
        pausedUntilMs: records.map(() => 0),
        /** Requests that other hosts have forwarded and that have not arrived yet. */
        forwarded: [] as { readonly arrivesAtMs: number; readonly dueMs: number; }[],
        waiting: [] as number[],
        reportAtMs: random.nextInt(REPORT_MS),
    }));
    const hostOf = (host: number): (typeof group)[number] => {
        const member = group[host];
        if (member === undefined) {
            throw new RangeError(`${host} of ${hosts} hosts`);
        }
        return member;
    };
    const reports: { atMs: number; own: number[][]; rows: (readonly BrittleRow[])[]; }[] = [];

    const trySend = (host: number, excluded: readonly number[]): boolean => {
        const { brittle, own, peers, pausedUntilMs } = hostOf(host);
        const loads = upstreams.map(({ index }) => (own[index] ?? 0) + (peers[index] ?? 0));
        const [chosen] = upstreams
            .filter(({ index, record }) =>
                !excluded.includes(index) && (pausedUntilMs[index] ?? 0) <= nowMs && (loads[index] ?? 0) < 2 * slots
                && brittle.waitMs(record, { own: own[index] ?? 0, all: loads[index] ?? 0, roundTripMs: 2 }) <= 0
            )
            .sort((left, right) => (loads[left.index] ?? 0) - (loads[right.index] ?? 0));
        if (chosen !== undefined) {
            own[chosen.index] = (own[chosen.index] ?? 0) + 1;
            chosen.arriving.push({ host, excluded, send: brittle.trackSend(chosen.record), endsAtMs: 0 });
        }
        return chosen !== undefined;
    };

    const end = (index: number, { host, send }: Run): void => {
        const { own } = hostOf(host);
        send.end(false);
        own[index] = (own[index] ?? 0) - 1;
    };

    const receive = (upstream: (typeof upstreams)[number], run: Run): void => {
        const { index, record, runs, isDown, rejectedAtMs } = upstream;
        const isStated = nowMs >= STATED_AT_MS;
        const member = hostOf(run.host);
        if (!isDown && isStated && member.brittle.observe(record, rejectionsPerS, SHARED_MS + nowMs)) {
            member.reportAtMs = nowMs;
        }
        if (!isDown && runs.length < (isStated ? slots : 2 * slots)) {
            runs.push({ ...run, endsAtMs: nowMs - workMs * Math.log(1 - random.nextFloat()) });
            return;
        }
        end(index, run);
        if (!isDown) {
            rejectedAtMs.push(nowMs);
            member.brittle.observeRejection(record, SHARED_MS + nowMs);
        }
        member.pausedUntilMs[index] = nowMs + PAUSE_MS;
        trySend(run.host, [...run.excluded, index]);
    };

    const serve = (upstream: (typeof upstreams)[number]): void => {
        const { index, runs } = upstream;
        const wasDown = upstream.isDown;
        upstream.isDown = index === 0 && options.crashAtMs !== undefined && nowMs >= options.crashAtMs
            && nowMs < options.crashAtMs + DOWN_MS;
        const isSilent = index === 0 && nowMs >= silentFromMs && nowMs < silentUntilMs;
        if (wasDown && !upstream.isDown) {
            upstream.record.startedAtMs++;
        }
        const ended = isSilent ? [] : runs.filter(({ endsAtMs }) => upstream.isDown || endsAtMs <= nowMs);
        upstream.runs = runs.filter(run => !ended.includes(run));
        ended.forEach(run => end(index, run));
        if (!isSilent) {
            upstream.arriving.splice(0).forEach(run => receive(upstream, run));
        }
        upstream.busy.push(Math.min(slots, upstream.runs.length) / slots);
    };

    const exchangeReports = (): void => {
        reports.push({
            atMs: nowMs,
            own: group.map(({ own }) => [...own]),
            rows: group.map(({ brittle }) => brittle.rows()),
        });
        group.filter(({ reportAtMs }) => nowMs >= reportAtMs).forEach(member => {
            const atMs = nowMs - MINIMUM_REPORT_AGE_MS - random.nextInt(options.reportAgeMs - MINIMUM_REPORT_AGE_MS);
            const report = reports.findLast(known => known.atMs <= atMs);
            member.reportAtMs = nowMs + REPORT_MS;
            member.peers = records.map((_, index) =>
                sum((report?.own ?? []).map((own, host) => host === member.host ? 0 : own[index] ?? 0))
            );
            report?.rows.flat().forEach(row => member.brittle.observeRow(row));
        });
    };

    let arrivals = 0;
    for (; nowMs < END_MS; nowMs += TICK_MS) {
        upstreams.forEach(serve);
        if (nowMs % 50 === 0) {
            exchangeReports();
        }
        for (arrivals += 2 * slots * upstreams.length / workMs * TICK_MS; arrivals >= 1; arrivals--) {
            const arrivedAt = hostOf(random.nextInt(hosts));
            const owners = arrivedAt.brittle.slotOwners(SERVICE);
            const forwardedTo = owners[random.nextInt(Math.max(1, owners.length))];
            const dueMs = nowMs + WAIT_MS;
            if (forwardedTo === undefined) {
                arrivedAt.waiting.push(dueMs);
                continue;
            }
            hostOf(names.indexOf(forwardedTo)).forwarded.push({ arrivesAtMs: nowMs + FORWARD_MS, dueMs });
        }
        group.forEach(member => {
            const arrived = member.forwarded.filter(({ arrivesAtMs }) => arrivesAtMs <= nowMs);
            member.forwarded = member.forwarded.filter(({ arrivesAtMs }) => arrivesAtMs > nowMs);
            member.waiting.push(...arrived.map(({ dueMs }) => dueMs));
            const open = member.waiting.filter(dueMs => dueMs >= nowMs);
            const firstRefused = open.findIndex(() => !trySend(member.host, []));
            const left = firstRefused < 0 ? [] : open.slice(firstRefused);
            member.waiting = left.slice(0, member.brittle.isRestricted(SERVICE) ? member.brittle.ownSlots(SERVICE) : 0);
        });
    }
    const busy = upstreams.flatMap(upstream => upstream.busy.slice((STATED_AT_MS + 1_000) / TICK_MS));
    return {
        mostInSecond: Math.max(
            0,
            ...upstreams.flatMap(({ rejectedAtMs }) => {
                const timesMs = rejectedAtMs.filter(atMs => atMs >= STATED_AT_MS + 1_000);
                return timesMs.map(fromMs => timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length);
            }),
        ),
        busyShare: sum(busy) / busy.length,
    };
};

const SMALL = { hosts: 8, upstreams: 3, slots: 6, workMs: 300, reportAgeMs: 700 };
const LARGE = { hosts: 82, upstreams: 6, slots: 64, workMs: 1_000, reportAgeMs: 2_000 };

const expectBounds = async (options: Case): Promise<void> => {
    const { mostInSecond, busyShare } = await simulate(options, SEED);
    expect(mostInSecond).toBeLessThanOrEqual(options.rejectionsPerS);
    expect(busyShare).toBeGreaterThan(options.minimumShare ?? 2 / 3);
};

test.each<[string, Case]>([
    ["three upstreams of 6 slots", { ...SMALL, rejectionsPerS: 2 }],
    ["three upstreams of 6 slots", { ...SMALL, rejectionsPerS: 5 }],
    ["three upstreams of 6 slots", { ...SMALL, rejectionsPerS: 20 }],
    ["long requests", { ...SMALL, rejectionsPerS: 2, workMs: 2_000 }],
    ["82 hosts, 16 slots", { ...LARGE, rejectionsPerS: 20, slots: 16 }],
    ["82 hosts, 64 slots", { ...LARGE, rejectionsPerS: 2 }],
    ["82 hosts, 64 slots", { ...LARGE, rejectionsPerS: 5 }],
    ["82 hosts, 64 slots", { ...LARGE, rejectionsPerS: 20 }],
    ["a plain service of 82 hosts, most without a slot", { ...LARGE, rejectionsPerS: 5, slots: 6, workMs: 300 }],
    ["hosts that disagree on who is live", { ...SMALL, rejectionsPerS: 2, disputedHosts: 1 }],
    // One of three upstreams is down for two seconds, which leaves two thirds of what the others can serve.
    ["a crash that moves its load to the others", { ...SMALL, rejectionsPerS: 2, crashAtMs: 4_000, minimumShare: 0.6 }],
    ["an upstream that is silent for a second", { ...SMALL, rejectionsPerS: 2, silentMs: [4_000, 5_000] }],
])("%s: %j", (_title, options) => expectBounds(options));
