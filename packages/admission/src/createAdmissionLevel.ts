import type { HostId, ServiceName } from "@ibislanding/core";
import type { AdmissionLevel } from "./admissionLevel";
import { computeAdmissionLevel } from "./computeAdmissionLevel";
import type { DemandRow } from "./demandRow";
import type { LevelState } from "./levelState";
import type { LevelStateOptions } from "./levelStateOptions";

/** Time constant with which rates follow the counters. */
const TIME_CONSTANT_MS = 1_000;

/** Interval at which the level is computed anew; reports arrive less often. */
const INTERVAL_MS = 200;

/** Time for which a service stays saturated, and after which the reports of a silent peer no longer count. */
const RETENTION_MS = 3_000;

/**
 * Wait relative to the target above which a service is saturated although no request was refused, and the one above which it
 * is if this fraction of the units that all hosts are offered is not served. What the level refuses is not served either: with
 * 1, which the mean of a host's few waits often exceeds without overload, a level would prolong itself.
 */
const SATURATED_PRESSURE = 2;
const BUSY_PRESSURE = 1.4;
const UNSERVED_SHARE = 0.1;

/** Fraction of free slots from which on the level refuses nothing. */
const FREE_SHARE = 0.5;

/** Mean wait, as a fraction of the objective, at which the upstreams are busy and most requests are in time. */
const TARGET_WAIT_SHARE = 0.4;

/** Time constant of the measured wait, and the weight of an old mean when samples are far apart. */
const WAIT_TIME_CONSTANT_MS = 500;
const MINIMUM_KEPT_SHARE = 0.7;

/** Bounds of the capacity relative to what is served now, and its change for each unit of the relative wait. */
const MINIMUM_GAIN = 0.5;
const MAXIMUM_GAIN = 1.3;
const GAIN_SLOPE = 0.3;

/**
 * Part of the capacity that all requests share in proportion to what they offer, before urgency and account decide. Callers of
 * the least urgent kind need a quarter of the share that all requests get; without it, they get nothing for seconds.
 */
const SHARED_CAPACITY = 0.25;

/** Part of the slots by which the capacity may rise in each step. */
const RISE_PER_STEP = 0.1;
const STEP_MS = 100;

const MS_PER_S = 1_000;

type Key = Omit<DemandRow, "offeredUnits" | "sentUnits">;

/** Units per second of one urgency and account, over all hosts. */
interface Total extends Key {
    offeredUnits: number;
    sentUnits: number;
}

/** Units of one urgency and account at this host, or in the reports of a peer. */
interface Counter {
    /** Shared by all counters of the same urgency and account. */
    readonly total: Total;
    /** Units that were counted while the service was saturated, as they are reported. */
    offeredUnits: number;
    sentUnits: number;
    /** Units since the last update of the rates. */
    newOffered: number;
    newSent: number;
    offeredPerS: number;
    sentPerS: number;
}

interface Reporter {
    atMs: number;
    readonly counters: Map<string, Counter>;
    /** Counters in the order of the rows of the last report, which the next one usually has as well. */
    readonly order: Counter[];
}

interface Service {
    readonly totals: Total[];
    level: AdmissionLevel | undefined;
    computedAtMs: number;
    saturatedAtMs: number;
    isSaturated: boolean;
    capacityUnitsPerS: number;
    /** Part of each urgency and account that is admitted at least. */
    minimumShare: number;
    /** Measured wait relative to the target. */
    pressure: number;
    measuredAtMs: number;
}

const keyOf = ({ service, urgency, accountId }: Key): string => `${service}\u0000${urgency}\u0000${accountId}`;

const isRowOf = ({ total }: Counter, { service, urgency, accountId }: Key): boolean =>
    total.accountId === accountId && total.urgency === urgency && total.service === service;

const decay = (durationMs: number, timeConstantMs: number): number => Math.exp(-durationMs / timeConstantMs);

const updateRates = (counters: ReadonlyMap<string, Counter>, durationMs: number): void => {
    const kept = decay(durationMs, TIME_CONSTANT_MS);
    const weightPerS = MS_PER_S / durationMs * (1 - kept);
    counters.forEach(counter => {
        counter.offeredPerS = counter.offeredPerS * kept + counter.newOffered * weightPerS;
        counter.sentPerS = counter.sentPerS * kept + counter.newSent * weightPerS;
        counter.newOffered = 0;
        counter.newSent = 0;
    });
};

const sumTotals = (totals: readonly Total[], field: "offeredUnits" | "sentUnits"): number =>
    totals.reduce((sum, total) => sum + total[field], 0);

/**
 * Creates the admission levels of a process that knows of no demand.
 *
 * Handles an overload that lasts for seconds, in which hosts know the load of upstreams as it was up to two seconds ago:
 * each sends until reports show backlogs that no request can wait for, and then all are late. The capacity is what the
 * upstreams serve now, less if first events come late, so that it does not depend on predictions. The waits are this host's
 * own; everything else is the same at all hosts.
 */
export const createAdmissionLevel = (
    { clock, random, isEnabled, onLevelChange }: LevelStateOptions,
): LevelState => {
    const totals = new Map<string, Total>();
    const own = new Map<string, Counter>();
    const reporters = new Map<HostId, Reporter>();
    const services = new Map<ServiceName, Service>();
    let ownRatesAtMs = clock.monotonicMs();

    const serviceOf = (name: ServiceName): Service => {
        const known = services.get(name);
        if (known !== undefined) {
            return known;
        }
        const service: Service = {
            totals: [],
            level: undefined,
            computedAtMs: -Infinity,
            saturatedAtMs: -Infinity,
            isSaturated: false,
            capacityUnitsPerS: Infinity,
            minimumShare: 0,
            pressure: 0,
            measuredAtMs: -Infinity,
        };
        services.set(name, service);
        return service;
    };

    const totalOf = (key: string, { service, urgency, accountId }: Key): Total => {
        const known = totals.get(key);
        if (known !== undefined) {
            return known;
        }
        const total: Total = { service, urgency, accountId, offeredUnits: 0, sentUnits: 0 };
        totals.set(key, total);
        serviceOf(service).totals.push(total);
        return total;
    };

    const counterOf = (counters: Map<string, Counter>, row: Key): Counter => {
        const key = keyOf(row);
        const known = counters.get(key);
        if (known !== undefined) {
            return known;
        }
        const counter: Counter = {
            total: totalOf(key, row),
            offeredUnits: 0,
            sentUnits: 0,
            newOffered: 0,
            newSent: 0,
            offeredPerS: 0,
            sentPerS: 0,
        };
        counters.set(key, counter);
        return counter;
    };

    const updateTotals = (): void => {
        const nowMs = clock.monotonicMs();
        if (nowMs - ownRatesAtMs >= INTERVAL_MS / 2) {
            updateRates(own, nowMs - ownRatesAtMs);
            ownRatesAtMs = nowMs;
        }
        [...reporters].filter(([, { atMs }]) => nowMs - atMs > RETENTION_MS).forEach(([hostId]) =>
            reporters.delete(hostId)
        );
        totals.forEach(total => {
            total.offeredUnits = 0;
            total.sentUnits = 0;
        });
        const add = ({ total, offeredPerS, sentPerS }: Counter): void => {
            total.offeredUnits += offeredPerS;
            total.sentUnits += sentPerS;
        };
        own.forEach(add);
        reporters.forEach(({ counters }) => counters.forEach(add));
    };

    const setLevel = (name: ServiceName, service: Service, level: AdmissionLevel | undefined): void => {
        const hasChanged = service.level?.urgency !== level?.urgency;
        service.level = level;
        if (hasChanged) {
            onLevelChange(name, level, service.capacityUnitsPerS);
        }
    };

    /** Without first events, the last waits say nothing about the present: the service would stay saturated. */
    const pressureOf = ({ pressure, measuredAtMs }: Service): number =>
        clock.monotonicMs() - measuredAtMs < RETENTION_MS ? pressure : 0;

    const updateService = (name: ServiceName): Service => {
        const service = serviceOf(name);
        const nowMs = clock.monotonicMs();
        const elapsedMs = nowMs - service.computedAtMs;
        if (elapsedMs < INTERVAL_MS || !isEnabled() && !service.isSaturated) {
            return service;
        }
        service.computedAtMs = nowMs;
        updateTotals();
        const offered = sumTotals(service.totals, "offeredUnits");
        const sent = sumTotals(service.totals, "sentUnits");
        const pressure = pressureOf(service);
        if (
            pressure > SATURATED_PRESSURE
            || offered - sent > offered * UNSERVED_SHARE && pressure > BUSY_PRESSURE
        ) {
            service.saturatedAtMs = nowMs;
        }
        service.isSaturated = isEnabled() && nowMs - service.saturatedAtMs < RETENTION_MS;
        if (!service.isSaturated || reporters.size === 0) {
            service.capacityUnitsPerS = Infinity;
            setLevel(name, service, undefined);
            return service;
        }
        const gain = Math.max(MINIMUM_GAIN, Math.min(MAXIMUM_GAIN, 1 + (1 - pressure) * GAIN_SLOPE));
        const steps = Math.min(MS_PER_S, elapsedMs) / STEP_MS;
        service.capacityUnitsPerS = Number.isFinite(service.capacityUnitsPerS)
            ? Math.min(sent * gain, service.capacityUnitsPerS + sent * RISE_PER_STEP * steps)
            : sent * gain;
        const capacity = service.capacityUnitsPerS;
        const isExceeded = offered > capacity;
        service.minimumShare = isExceeded ? SHARED_CAPACITY * capacity / offered : 0;
        // The level divides the rest of the capacity among the rest of the demand; only their ratio matters to it.
        const rest = isExceeded ? capacity * (1 - SHARED_CAPACITY) / (1 - service.minimumShare) : capacity;
        setLevel(name, service, computeAdmissionLevel(service.totals, rest));
        return service;
    };

    // Only these units are reported: those of before would look like sudden demand in the sum of a collector.
    const isReported = (name: ServiceName): boolean => services.get(name)?.isSaturated === true;

    return {
        recordOffered: request => {
            const counter = counterOf(own, request);
            counter.newOffered += request.units;
            counter.offeredUnits += isReported(request.service) ? request.units : 0;
        },
        recordFirstEvent: (request, waitShare) => {
            const service = serviceOf(request.service);
            const nowMs = clock.monotonicMs();
            const kept = Math.max(MINIMUM_KEPT_SHARE, decay(nowMs - service.measuredAtMs, WAIT_TIME_CONSTANT_MS));
            service.pressure = pressureOf(service) * kept + waitShare / TARGET_WAIT_SHARE * (1 - kept);
            service.measuredAtMs = nowMs;
            const counter = counterOf(own, request);
            counter.newSent += request.units;
            counter.sentUnits += isReported(request.service) ? request.units : 0;
        },
        recordSaturation: name => {
            serviceOf(name).saturatedAtMs = clock.monotonicMs();
        },
        admits: ({ service: name, urgency, accountId }, freeShare, returning) => {
            const { level, minimumShare } = updateService(name);
            if (level === undefined || urgency < level.urgency) {
                return true;
            }
            const isAtLevel = urgency === level.urgency;
            if (isAtLevel && returning?.hasPlace() === true) {
                return true;
            }
            const share = isAtLevel
                ? (level.admittedShares.get(accountId) ?? 1) * (1 - (returning?.heldShare() ?? 0))
                : 0;
            return random.nextFloat() < minimumShare + (1 - minimumShare) * share || freeShare() >= FREE_SHARE;
        },
        observePeer: (hostId, rows) => {
            const nowMs = clock.monotonicMs();
            const known = reporters.get(hostId);
            if (rows.length === 0 && known === undefined) {
                return;
            }
            const reporter = known ?? { atMs: nowMs, counters: new Map<string, Counter>(), order: [] };
            rows.forEach((row, index) => {
                const expected = reporter.order[index];
                const previous = expected !== undefined && isRowOf(expected, row)
                    ? expected
                    : reporter.counters.get(keyOf(row));
                const counter = previous ?? counterOf(reporter.counters, row);
                reporter.order[index] = counter;
                // The first row of a counter, or of a process that has lost its counters, says nothing about an interval: it
                // may contain the units of an earlier saturation.
                if (previous !== undefined && row.offeredUnits >= counter.offeredUnits) {
                    counter.newOffered += row.offeredUnits - counter.offeredUnits;
                    counter.newSent += Math.max(0, row.sentUnits - counter.sentUnits);
                }
                counter.offeredUnits = row.offeredUnits;
                counter.sentUnits = row.sentUnits;
            });
            if (nowMs > reporter.atMs) {
                updateRates(reporter.counters, nowMs - reporter.atMs);
            }
            reporter.atMs = nowMs;
            reporters.set(hostId, reporter);
        },
        rows: () => {
            [...services.keys()].forEach(updateService);
            return [...own.values()].filter(({ total }) => isReported(total.service)).map((
                { total: { service, urgency, accountId }, offeredUnits, sentUnits },
            ) => ({ service, urgency, accountId, offeredUnits, sentUnits }));
        },
        freeUnitsPerS: (name, urgency) => {
            const { level, capacityUnitsPerS, totals: demand } = updateService(name);
            return level === undefined
                ? undefined
                : Math.max(
                    0,
                    capacityUnitsPerS - sumTotals(demand.filter(total => total.urgency < urgency), "offeredUnits"),
                );
        },
        isEnabled,
        servedUnitsPerS: (name, accountId) =>
            sumTotals(updateService(name).totals.filter(total => total.accountId === accountId), "sentUnits"),
        levelOf: name => updateService(name).level,
    };
};
