import { ErrorCode, type Failure, type ServiceName } from "@ibislanding/core";
import { createDutyRunner, createScaler, createUsageReporter, type DutyRunner } from "@ibislanding/duties";
import { createDemandMeter } from "./createDemandMeter";
import type { EdgeDutiesOptions } from "./edgeDutiesOptions";

/** Upstreams that started together register within this time. */
const REGISTRATION_MS = 4_000;

/** Creates the duties and starts to contend for them. */
export const createEdgeDuties = (options: EdgeDutiesOptions): DutyRunner => {
    const { clock, random, log, store, duties, settings, documents, usage, nowMs } = options;
    const demand = createDemandMeter(clock);

    const noteFailure = (failure: Failure): void => {
        const fence = holder.fencingNumber();
        if (failure.code === ErrorCode.StaleFencingNumber && fence !== undefined) {
            holder.recordRefusal(fence);
        }
    };

    const reporter = createUsageReporter({
        store,
        keyPrefix: `${documents.ownPrefix}usage/`,
        api: duties,
        counts: usage,
        windowMs: settings.usage.windowMs,
        dueMs: settings.usage.dueMs,
        nowMs,
        haveAllPeersReportedSince: options.heardAllSince,
        onReported: (window, requests, ageMs) =>
            log.write("usage_reported", { window, requests, ageMs: Math.round(ageMs) }),
        onFailure: (window, step, failure) => {
            noteFailure(failure);
            log.write("usage_failed", { window, step, reason: failure.code });
        },
    });
    const scaler = createScaler({
        api: duties,
        clock,
        onRequested: (order, { averageBusy, peakBusy }) =>
            log.write("fleet_ordered", {
                ...order,
                averageBusy: Number(averageBusy.toFixed(2)),
                peakBusy: Number(peakBusy.toFixed(2)),
            }),
        onFailure: (order, failure) => {
            noteFailure(failure);
            log.write("fleet_order_failed", { ...order, reason: failure.code, details: failure.message });
        },
    });

    /** Whether the upstreams have had time to register; before, their number says nothing. */
    const isSettled = (service: ServiceName): boolean =>
        clock.monotonicMs() - (options.foundAtMs(service) ?? Infinity) >= REGISTRATION_MS;

    const scale = async (fencingNumber: Parameters<typeof reporter.step>[0]): Promise<void> => {
        for (const { name, scaling } of options.configuration()?.source.services ?? []) {
            if (scaling === undefined) {
                continue;
            }
            const records = options.upstreams.records().filter(record => record.service === name && !record.isLeaving);
            if (!isSettled(name)) {
                continue;
            }
            const zones = [...scaling.zonePrices]
                .filter(([zone]) => options.zonesInUse.has(zone))
                .map(([availabilityZone, price]) => {
                    const here = records.filter(record => record.availabilityZone === availabilityZone);
                    const reclaimable = here.filter(record => record.isReclaimable).length;
                    return { availabilityZone, price, onDemand: here.length - reclaimable, reclaimable };
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

    const holder = createDutyRunner({
        store,
        clock,
        random,
        key: `${documents.ownPrefix}duties`,
        hostId: settings.hostId,
        leaseMs: settings.leaseMs,
        mayContend: options.mayContend,
        duties: [
            ...(settings.duties.usage ? [reporter.step] : []),
            ...(settings.duties.scaling ? [scale] : []),
        ],
        onChange: (held, fencingNumber) => log.write(held ? "duties_taken" : "duties_lost", { fencingNumber }),
        onError: error => log.write("duty_error", { reason: error instanceof Error ? error.stack : typeof error }),
    });
    return holder;
};
