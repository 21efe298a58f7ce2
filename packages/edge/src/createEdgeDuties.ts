import { ErrorCode, type Failure, type ServiceName } from "@ibislanding/core";
import {
    createDutyRunner,
    createScaler,
    createUsageReporter,
    createZoneForecast,
    type DutyRunner,
    type ZoneDemand,
} from "@ibislanding/duties";
import { createDemandMeter } from "./createDemandMeter";
import type { EdgeDutiesOptions } from "./edgeDutiesOptions";
import { createRolloutDuty } from "./rollouts/createRolloutDuty";

/** Time within which upstreams that started together have registered. */
const REGISTRATION_PERIOD_MS = 4_000;

const NO_DEMAND: ZoneDemand = { currentBusy: 0, expectedBusy: 0 };

/** Creates the duties for usage, scaling and rollouts and starts contending for their lease. */
export const createEdgeDuties = (options: EdgeDutiesOptions): DutyRunner => {
    const { clock, random, log, store, storeEpoch, duties, settings, documents, usage, nowMs } = options;
    const demand = createDemandMeter(clock);
    const zoneForecast = createZoneForecast(clock);
    const expectedByService = new Map<ServiceName, ReturnType<typeof zoneForecast.observe>>();
    options.metrics.labelledGauge(
        "ibis_zone_expected_busy",
        "Engines that the demand of a zone's hosts is expected to keep busy when an engine ordered now has started.",
        () =>
            [...expectedByService].flatMap(([service, zones]) =>
                [...zones].map(([zone, { expectedBusy }]) => ({ labels: { service, zone }, value: expectedBusy }))
            ),
    );

    const handleFailure = (failure: Failure): void => {
        const currentFencingNumber = runner.fencingNumber();
        if (failure.code === ErrorCode.StaleFencingNumber && currentFencingNumber !== undefined) {
            runner.recordRefusal(currentFencingNumber);
        }
    };

    const reporter = createUsageReporter({
        store,
        storeEpoch,
        keyPrefix: `${documents.ownPrefix}usage/`,
        api: duties,
        counts: usage,
        records: options.usageRecords,
        windowMs: settings.usage.windowMs,
        dueMs: settings.usage.dueMs,
        nowMs,
        haveAllPeersReportedSince: options.haveAllPeersReportedSince,
        onReported: (window, requests, ageMs) =>
            log.write("usage_reported", { window, requests, ageMs: Math.round(ageMs) }),
        onOmitted: window => log.write("usage_omitted", { window, reason: "other counts may have been sent" }),
        onFailure: (window, step, failure) => {
            handleFailure(failure);
            log.write("usage_failed", { window, step, reason: failure.code });
        },
    });
    const scaler = createScaler({
        api: duties,
        clock,
        onRequested: (request, { averageBusy, peakBusy, zones }) => {
            const expected = zones.find(({ availabilityZone }) => availabilityZone === request.availabilityZone)
                ?.demand;
            log.write("fleet_ordered", {
                ...request,
                zoneBusy: expected === undefined ? undefined : Number(expected.currentBusy.toFixed(2)),
                expectedZoneBusy: expected === undefined ? undefined : Number(expected.expectedBusy.toFixed(2)),
                averageBusy: Number(averageBusy.toFixed(2)),
                peakBusy: Number(peakBusy.toFixed(2)),
            });
        },
        onFailure: (request, failure) => {
            handleFailure(failure);
            log.write("fleet_order_failed", { ...request, reason: failure.code, details: failure.message });
        },
    });

    /** Whether the upstreams have had time to register; until then their number is incomplete. */
    const isRegistrationComplete = (service: ServiceName): boolean =>
        clock.monotonicMs() - (options.firstSeenAtMs(service) ?? Infinity) >= REGISTRATION_PERIOD_MS;

    const scale = async (fencingNumber: Parameters<typeof reporter.step>[0]): Promise<void> => {
        for (const { name, scaling } of options.configuration()?.source.services ?? []) {
            if (scaling === undefined) {
                continue;
            }
            const records = options.upstreams.records().filter(record => record.service === name && !record.isLeaving);
            if (!isRegistrationComplete(name)) {
                continue;
            }
            const busyByZone = options.busyUpstreamsByZone(name);
            const expected = busyByZone === undefined
                ? undefined
                : zoneForecast.observe(name, busyByZone, scaling.bootMs);
            const isExpectationKnown = expected !== undefined && expected.size > 0;
            expectedByService.set(name, expected ?? new Map());
            const zones = [...scaling.zonePrices]
                .filter(([zone]) => options.deployedZones.has(zone))
                .map(([availabilityZone, price]) => {
                    const zoneRecords = records.filter(record => record.availabilityZone === availabilityZone);
                    const reclaimable = zoneRecords.filter(record => record.isReclaimable).length;
                    return {
                        availabilityZone,
                        price,
                        onDemand: zoneRecords.length - reclaimable,
                        reclaimable,
                        demand: isExpectationKnown ? expected.get(availabilityZone) ?? NO_DEMAND : undefined,
                    };
                });
            await scaler.step(name, {
                zones,
                ...demand.observe(name, options.busyUpstreams(name), {
                    onDemand: zones.reduce((sum, { onDemand }) => sum + onDemand, 0),
                    reclaimable: zones.reduce((sum, { reclaimable }) => sum + reclaimable, 0),
                }),
                minimum: scaling.minimum,
                maximum: scaling.maximum,
            }, fencingNumber);
        }
    };

    const { rollouts } = options;
    const rolloutDuties = rollouts === undefined || settings.rollouts === undefined ? [] : [createRolloutDuty({
        ...options,
        rollouts,
        bounds: settings.rollouts,
        hasService: service => options.configuration()?.servicesByName.has(service),
    })];

    const runner = createDutyRunner({
        store,
        storeEpoch,
        clock,
        random,
        key: `${documents.ownPrefix}duties`,
        hostId: settings.hostId,
        leaseMs: settings.leaseMs,
        mayContend: options.mayContend,
        duties: [
            ...(settings.duties.usage ? [reporter.step] : []),
            ...(settings.duties.scaling ? [scale] : []),
            ...rolloutDuties,
        ],
        onChange: (held, fencingNumber) => {
            expectedByService.clear();
            log.write(held ? "duties_taken" : "duties_lost", { fencingNumber });
        },
        onError: error => log.write("duty_error", { reason: error instanceof Error ? error.stack : typeof error }),
    });
    return runner;
};
