import { createAdmissionLevel, createReturns, type DemandRow, type OfferedRequest } from "@ibislanding/admission";
import {
    type AccountId,
    createHasher,
    createRandom,
    type HostId,
    type ServiceName,
    type UpstreamId,
} from "@ibislanding/core";
import {
    chooseUpstream,
    createUpstreamTable,
    measureFreeShare,
    type PlacementRequest,
    type UpstreamLoad,
} from "../../src";
import { createRecord } from "./startTestGateway";

const SERVICE = "orders" as ServiceName;
const ZONES = 6;
const ACCOUNTS = 16;
const SLOTS = 16;
const REPORT_MS = 650;
const OTHER_ZONE_MS = 20;
const OVERHEAD_MS = 20;
const TOKENS_PER_MS = 40.8;
const OUTPUT_TOKENS = 70;
/** Time for which a slot is in use after the first event. */
const DECODE_MS = 450;
const DEADLINE_MS = 4_000;
const RETURN_AT_ONCE_MS = 20;
/** An engine rejects requests beyond this number for each slot. */
const MAXIMUM_PER_SLOT = 2;
const REJECTED_RETRY_MS = 200;
const ABOVE_LEVEL_RETRY_MS = 600;
const RETRY_JITTER = 0.5;
const PEER_TIMEOUT_MS = 4_000;
/** Requests of before are not counted: the hosts learn the speed of the engines from them. */
const WARM_UP_MS = 3_000;

const SIZES = [9_190, 2_368, 2_368, 715, 715, 715, 715];
const URGENCIES = [0, 0, 0, 1, 1, 1, 2, 2, 2, 2];
const OBJECTIVES_MS = [400, 600, 800];
const MEAN_WORK_MS = SIZES.reduce((sum, tokens) => sum + tokens, 0) / SIZES.length / TOKENS_PER_MS;

/** An overload and its faults. */
export interface OverloadCase {
    readonly hosts: number;
    readonly engines: number;
    /** Offered work relative to the capacity of the engines, by time in seconds. */
    readonly loadAt: (s: number) => number;
    readonly durationS: number;
    /** Age at which reports arrive, in addition to the time until they are sent. */
    readonly ageMs: readonly [least: number, most: number];
    /** Times in seconds between which a zone's collector reports nothing. */
    readonly silentZone?: readonly [number, number];
    /** Time in seconds at which all hosts lose what they know. */
    readonly restartS?: number;
    /** Times in seconds between which every third engine is gone; what runs there is lost. */
    readonly lostEnginesS?: readonly [from: number, to: number];
    /** Number of times that an impatient client returns, without waiting. */
    readonly impatientReturns: number;
    readonly usesLevel: boolean;
    readonly usesCalendar: boolean;
    /** Whether clients return to the host that refused them. */
    readonly returnsToSameHost: boolean;
}

interface Client {
    readonly id: string;
    readonly urgency: number;
    readonly account: number;
    readonly tokens: number;
    readonly arrivedAtMs: number;
    readonly dueAtMs: number;
    readonly isImpatient: boolean;
    returns: number;
    isServed: boolean;
    isInTime: boolean;
}

interface Snapshot {
    readonly atMs: number;
    readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>;
    readonly rows: readonly DemandRow[];
    readonly loadsByHost: ReadonlyMap<number, ReadonlyMap<UpstreamId, UpstreamLoad>>;
    readonly rowsByHost: ReadonlyMap<number, readonly DemandRow[]>;
}

const NO_LOAD: UpstreamLoad = { running: 0, backlogTokens: 0 };

const addLoads = (
    tables: readonly ReadonlyMap<UpstreamId, UpstreamLoad>[],
    sign: (index: number) => number,
): ReadonlyMap<UpstreamId, UpstreamLoad> => {
    const sums = new Map<UpstreamId, UpstreamLoad>();
    tables.forEach((loads, index) =>
        loads.forEach(({ running, backlogTokens }, upstreamId) => {
            const sum = sums.get(upstreamId) ?? NO_LOAD;
            sums.set(upstreamId, {
                running: Math.max(0, sum.running + sign(index) * running),
                backlogTokens: Math.max(0, sum.backlogTokens + sign(index) * backlogTokens),
            });
        })
    );
    return sums;
};

const keyOf = ({ urgency, accountId }: DemandRow): string => `${urgency} ${accountId}`;

const combineRows = (
    tables: readonly (readonly DemandRow[])[],
    sign: (index: number) => number,
): readonly DemandRow[] => {
    const sums = new Map<string, DemandRow>();
    tables.forEach((rows, index) =>
        rows.forEach(row => {
            const sum = sums.get(keyOf(row)) ?? { ...row, offeredUnits: 0, sentUnits: 0 };
            sums.set(keyOf(row), {
                ...row,
                offeredUnits: sum.offeredUnits + sign(index) * row.offeredUnits,
                sentUnits: sum.sentUnits + sign(index) * row.sentUnits,
            });
        })
    );
    return [...sums.values()];
};

/** Replays an overload of many hosts before few engines, without a network, with the real decisions of each host. */
export const replayOverload = async (of: OverloadCase, seed: number) => {
    const hasher = await createHasher();
    const random = createRandom(seed);
    const deciding = createRandom(seed + 100);
    const clock = {
        nowMs: 0,
        monotonicMs: () => clock.nowMs,
        wallMs: () => clock.nowMs,
        setTimer: () => ({ cancel: () => undefined }),
        sleep: async () => undefined,
    };
    const engines = Array.from({ length: of.engines }, () => ({
        freeAtMs: 0,
        slotsFreeAtMs: Array.from({ length: SLOTS }, () => 0),
    }));
    const records = engines.map((_, index) => createRecord(`engine-${index}`, 1, { slots: SLOTS }));
    const accountWeights = Array.from({ length: ACCOUNTS }, (_, index) => 1 / (index + 1));
    const weightSum = accountWeights.reduce((sum, weight) => sum + weight, 0);
    const runningAt = engines.map(() => 0);
    let refusedByLevel = 0;
    const levelRefusalsAtMs: number[] = [];
    let claimed = 0;
    const createHost = (index: number) => {
        const table = createUpstreamTable({
            clock,
            hasher,
            serviceOf: name => ({
                name,
                maximumConnections: 1_000_000,
                engine: { slots: SLOTS, cacheTokens: 1, supportsMoves: false },
                scaling: undefined,
            }),
            peerTimeoutMs: () => PEER_TIMEOUT_MS,
            unobservedShare: () => of.hosts > 13 ? 1 : 0,
            sharedNowMs: clock.monotonicMs,
            ownAddress: `host-${index}`,
            hostAddresses: () => [`host-${index}`],
            onPlaced: () => undefined,
        });
        table.replace(records);
        records.forEach(({ upstreamId }, engine) =>
            table.reportRoundTrip(upstreamId, engine % ZONES === index % ZONES ? 1 : OTHER_ZONE_MS)
        );
        const level = createAdmissionLevel({
            clock,
            random: deciding,
            isEnabled: () => of.usesLevel && of.hosts > 16,
            onLevelChange: () => undefined,
        });
        return {
            index,
            returns: of.usesCalendar
                ? createReturns({ clock, random: deciding, level, hostCount: () => of.hosts })
                : undefined,
            zone: index % ZONES,
            table,
            lastAtMs: Array.from({ length: ZONES }, () => -1),
            delaysMs: Array.from(
                { length: ZONES },
                () => of.ageMs[0] + random.nextFloat() * (of.ageMs[1] - of.ageMs[0]),
            ),
            level,
        };
    };
    const hosts = Array.from({ length: of.hosts }, (_, index) => createHost(index));
    const isLostAt = (engine: number, nowMs: number): boolean =>
        of.lostEnginesS !== undefined && engine % 3 === 0
        && nowMs >= of.lostEnginesS[0] * 1_000 && nowMs < of.lostEnginesS[1] * 1_000;
    const snapshots = Array.from({ length: ZONES }, (): Snapshot[] => []);
    const clients: Client[] = [];
    const events: { readonly atMs: number; readonly run: () => void; }[] = [];
    const perHost = { decisions: 0, busyMs: 0 };

    const schedule = (atMs: number, run: () => void): void => {
        const index = events.findLastIndex(event => event.atMs <= atMs);
        events.splice(index + 1, 0, { atMs, run });
    };

    const report = (zone: number): void => {
        const nowMs = clock.nowMs;
        if (
            of.silentZone !== undefined && zone === 0
            && nowMs >= of.silentZone[0] * 1_000 && nowMs < of.silentZone[1] * 1_000
        ) {
            return;
        }
        const members = hosts.filter(host => host.zone === zone);
        const loadsByHost = new Map(members.map(({ index, table }) => [index, table.ownLoads()] as const));
        const rowsByHost = new Map(members.map(({ index, level }) => [index, level.rows()] as const));
        snapshots[zone] = [
            ...snapshots[zone] ?? [],
            {
                atMs: nowMs,
                loads: addLoads([...loadsByHost.values()], () => 1),
                rows: combineRows([...rowsByHost.values()], () => 1),
                loadsByHost,
                rowsByHost,
            },
        ].slice(-8);
    };

    const receiveReports = (host: (typeof hosts)[number]): void =>
        snapshots.forEach((zoneSnapshots, zone) => {
            const snapshot = zoneSnapshots.findLast(({ atMs }) => atMs <= clock.nowMs - (host.delaysMs[zone] ?? 0));
            if (snapshot === undefined || snapshot.atMs <= (host.lastAtMs[zone] ?? 0)) {
                return;
            }
            host.lastAtMs[zone] = snapshot.atMs;
            const sign = (index: number): number => 1 - 2 * index;
            const ownRows = snapshot.rowsByHost.get(host.index) ?? [];
            const ownLoads = snapshot.loadsByHost.get(host.index) ?? new Map<UpstreamId, UpstreamLoad>();
            host.table.observePeer(`zone-${zone}`, addLoads([snapshot.loads, ownLoads], sign), of.hosts / ZONES);
            host.level.observePeer(`zone-${zone}` as HostId, combineRows([snapshot.rows, ownRows], sign));
        });

    const send = (
        host: (typeof hosts)[number],
        client: Client,
        request: PlacementRequest,
        upstreamId: UpstreamId,
        offered: OfferedRequest,
        idleMs: number,
    ): void => {
        const nowMs = clock.nowMs;
        const index = records.findIndex(record => record.upstreamId === upstreamId);
        const engine = engines[index];
        if (engine === undefined) {
            throw new Error("no engine was chosen");
        }
        const load = host.table.trackRequest(upstreamId, request);
        const wayMs = index % ZONES === host.zone ? 1 : OTHER_ZONE_MS;
        const slot = engine.slotsFreeAtMs.indexOf(Math.min(...engine.slotsFreeAtMs));
        const startMs = Math.max(nowMs + wayMs / 2, engine.freeAtMs, engine.slotsFreeAtMs[slot] ?? 0);
        const readAtMs = startMs + client.tokens / TOKENS_PER_MS;
        engine.freeAtMs = readAtMs;
        engine.slotsFreeAtMs[slot] = readAtMs + DECODE_MS;
        const firstEventAtMs = readAtMs + OVERHEAD_MS + wayMs / 2;
        runningAt[index] = (runningAt[index] ?? 0) + 1;
        schedule(firstEventAtMs, () => {
            if (isLostAt(index, firstEventAtMs)) {
                client.isServed = false;
                client.isInTime = false;
                return;
            }
            load.recordFirstEvent();
            const waitMs = firstEventAtMs - nowMs - idleMs;
            host.level.recordFirstEvent(offered, Math.max(0, waitMs) / request.objectiveMs);
        });
        schedule(firstEventAtMs + DECODE_MS, () => {
            runningAt[index] = (runningAt[index] ?? 0) - 1;
            load.end();
        });
        client.isServed = true;
        client.isInTime = firstEventAtMs - nowMs <= (OBJECTIVES_MS[client.urgency] ?? 0);
    };

    const refuse = (
        host: (typeof hosts)[number],
        client: Client,
        offered: OfferedRequest,
        retryAfterMs: number,
        isRejected = false,
    ): void => {
        const nowMs = clock.nowMs;
        const jitteredMs = retryAfterMs * (1 + random.nextFloat() * RETRY_JITTER);
        const plannedMs = isRejected ? undefined : host.returns?.refuse(offered, client.id, client.dueAtMs - nowMs);
        const statedMs = plannedMs ?? jitteredMs;
        if (client.returns >= (client.isImpatient ? of.impatientReturns : 1)) {
            return;
        }
        if (!client.isImpatient && statedMs > (client.dueAtMs - nowMs) / 3 + 1) {
            return;
        }
        client.returns++;
        schedule(
            nowMs + (client.isImpatient ? RETURN_AT_ONCE_MS : statedMs),
            () => arrive(client, of.returnsToSameHost ? host : undefined),
        );
    };

    const pickHost = (): (typeof hosts)[number] => {
        const host = hosts[random.nextInt(of.hosts)];
        if (host === undefined) {
            throw new Error("there is no host");
        }
        return host;
    };

    const arrive = (client: Client, at?: (typeof hosts)[number], excluded?: ReadonlySet<UpstreamId>): void => {
        const host = at ?? pickHost();
        const objectiveMs = OBJECTIVES_MS[client.urgency] ?? 0;
        const request: PlacementRequest = {
            promptTokens: client.tokens,
            promptParts: [],
            objectiveMs,
            remainingMs: client.dueAtMs - clock.nowMs,
            requiresSpareCapacity: false,
            requiresKnownVersion: false,
            excluded: excluded ?? new Set(),
            softwareVersion: undefined,
            versionRule: { kind: "any" },
        };
        const offered: OfferedRequest = {
            service: SERVICE,
            urgency: client.urgency,
            accountId: `account-${client.account}` as AccountId,
            units: client.tokens + OUTPUT_TOKENS,
        };
        receiveReports(host);
        const candidates = host.table.candidates(SERVICE, request);
        const startedAtMs = performance.now();
        const isFirst = excluded === undefined;
        if (isFirst) {
            host.level.recordOffered(offered);
        }
        const hasPlace = isFirst && host.returns?.claim(offered, () => client.id) === true;
        claimed += hasPlace ? 1 : 0;
        const admits = !isFirst || host.level.admits(offered, () => measureFreeShare(candidates), {
            hasPlace: () => hasPlace,
            heldShare: () => host.returns?.heldShare(offered) ?? 0,
        });
        perHost.busyMs += performance.now() - startedAtMs;
        perHost.decisions++;
        if (!admits) {
            refusedByLevel++;
            levelRefusalsAtMs.push(clock.nowMs);
            refuse(host, client, offered, ABOVE_LEVEL_RETRY_MS);
            return;
        }
        const decision = chooseUpstream(candidates, request, of.hosts > 13 ? deciding.nextFloat() : undefined);
        if (decision.kind === "refuse") {
            host.level.recordSaturation(SERVICE);
            refuse(host, client, offered, decision.retryAfterMs);
            return;
        }
        const target = records.findIndex(({ upstreamId }) => upstreamId === decision.upstream.upstreamId);
        if ((runningAt[target] ?? 0) >= SLOTS * MAXIMUM_PER_SLOT) {
            // A request that an engine rejects is sent to one other.
            if (excluded === undefined) {
                arrive(client, host, new Set([decision.upstream.upstreamId]));
                return;
            }
            refuse(host, client, offered, REJECTED_RETRY_MS, true);
            return;
        }
        send(host, client, request, decision.upstream.upstreamId, offered, decision.idleMs);
    };

    const pickAccount = (): number => {
        let rest = random.nextFloat() * weightSum;
        return Math.max(
            0,
            accountWeights.findIndex(weight => {
                rest -= weight;
                return rest < 0;
            }),
        );
    };

    let nextClient = 0;

    const createClient = (): Client => ({
        id: `client-${nextClient++}`,
        urgency: URGENCIES[random.nextInt(URGENCIES.length)] ?? 0,
        account: pickAccount(),
        tokens: SIZES[random.nextInt(SIZES.length)] ?? 0,
        arrivedAtMs: clock.nowMs,
        dueAtMs: clock.nowMs + DEADLINE_MS,
        isImpatient: random.nextFloat() < 0.4,
        returns: 0,
        isServed: false,
        isInTime: false,
    });

    let nextArrivalMs = 0;
    let nextReport = 0;
    let hasRestarted = false;
    let hadLost = false;
    while (clock.nowMs < of.durationS * 1_000) {
        const eventMs = events[0]?.atMs ?? Infinity;
        const reportMs = nextReport * REPORT_MS / ZONES;
        clock.nowMs = Math.min(nextArrivalMs, eventMs, reportMs);
        if (!hasRestarted && of.restartS !== undefined && clock.nowMs >= of.restartS * 1_000) {
            hasRestarted = true;
            hosts.forEach((_, index) => {
                hosts[index] = createHost(index);
            });
            snapshots.forEach((_, zone) => {
                snapshots[zone] = [];
            });
        }
        const hasLost = isLostAt(0, clock.nowMs);
        if (hasLost !== hadLost) {
            hadLost = hasLost;
            hosts.forEach(({ table }) => table.replace(records.filter((_, index) => !isLostAt(index, clock.nowMs))));
            engines.filter((_, index) => index % 3 === 0).forEach(engine => {
                engine.freeAtMs = clock.nowMs;
                engine.slotsFreeAtMs.fill(clock.nowMs);
            });
        }
        if (clock.nowMs === reportMs) {
            report(nextReport % ZONES);
            nextReport++;
            continue;
        }
        if (clock.nowMs === eventMs) {
            events.shift()?.run();
            continue;
        }
        const client = createClient();
        if (clock.nowMs >= WARM_UP_MS) {
            clients.push(client);
        }
        arrive(client);
        const perMs = of.loadAt(clock.nowMs / 1_000) * of.engines / MEAN_WORK_MS;
        nextArrivalMs = clock.nowMs - Math.log(1 - random.nextFloat()) / perMs;
    }
    return {
        refusedByLevel,
        /** Number of refusals by the level from a time in seconds on. */
        levelRefusalsSince: (s: number): number => levelRefusalsAtMs.filter(atMs => atMs >= s * 1_000).length,
        claimed,
        decisionUs: perHost.busyMs / perHost.decisions * 1_000,
        /** Outcomes of the clients that a predicate selects, by requests and by units. */
        outcomesOf: (selects: (client: Client) => boolean) => {
            const selected = clients.filter(selects);
            const units = (of: readonly Client[]): number =>
                of.reduce((sum, { tokens }) => sum + tokens + OUTPUT_TOKENS, 0);
            const inTime = selected.filter(({ isInTime }) => isInTime);
            return {
                count: selected.length,
                inTime: inTime.length / selected.length,
                served: selected.filter(({ isServed }) => isServed).length / selected.length,
                inTimeUnits: units(inTime),
                inTimeUnitShare: units(inTime) / units(selected),
            };
        },
    };
};
