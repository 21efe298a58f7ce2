import { type AdmissionLevel, createAdmissionLevel, createReturns } from "@ibislanding/admission";
import type { ServiceName } from "@ibislanding/core";
import { parseDemandRows } from "../parseDemandRows";
import type { Admission } from "./admission";
import type { AdmissionOptions } from "./admissionOptions";

/** Groups up to this size choose from newer loads and are served without a level. */
const SMALL_GROUP_HOSTS = 16;

/** Minimum time between two log lines on the level of a service; the end of a saturation is always logged. */
const LOG_INTERVAL_MS = 1_000;

/** Value of the metric while all requests are admitted. */
const ALL_ADMITTED = -1;

/** Creates the admission of a host, with a level for each saturated service. */
export const createAdmission = (options: AdmissionOptions): Admission => {
    const { clock, log, metrics, hostCount, isKnownService } = options;
    const urgencies = new Map<ServiceName, number>();
    const logs = new Map<ServiceName, { readonly atMs: number; readonly changes: number; }>();
    const invalidRows = metrics.counter(
        "ibis_demand_rows_invalid_total",
        "Rows of demand in reports that can't be read or are of an unknown service.",
    );
    const refusals = metrics.counter(
        "ibis_admission_refusals_total",
        "Requests above the admission level by service and urgency.",
    );

    const logLevel = (service: ServiceName, level: AdmissionLevel | undefined, capacityUnitsPerS: number): void => {
        const nowMs = clock.monotonicMs();
        const known = logs.get(service);
        const changes = (known?.changes ?? 0) + 1;
        if (level !== undefined && known !== undefined && nowMs - known.atMs < LOG_INTERVAL_MS) {
            logs.set(service, { ...known, changes });
            return;
        }
        logs.set(service, { atMs: nowMs, changes: 0 });
        log.write("admission_level", {
            service,
            urgency: level !== undefined && Number.isFinite(level.urgency) ? level.urgency : undefined,
            isSaturated: level !== undefined,
            capacityUnitsPerS: Number.isFinite(capacityUnitsPerS) ? Math.round(capacityUnitsPerS) : undefined,
            changes,
        });
    };

    const level = createAdmissionLevel({
        ...options,
        isEnabled: () => hostCount() > SMALL_GROUP_HOSTS,
        onLevelChange: (service, changed, capacityUnitsPerS) => {
            urgencies.set(service, changed?.urgency ?? Infinity);
            logLevel(service, changed, capacityUnitsPerS);
        },
    });

    metrics.labelledGauge(
        "ibis_admission_level",
        "Highest urgency number of a service that is admitted at least in part; -1 if all requests are.",
        () =>
            [...urgencies].map(([service, urgency]) => ({
                labels: { service },
                value: Number.isFinite(urgency) ? urgency : ALL_ADMITTED,
            })),
    );

    return {
        level: {
            ...level,
            admits: (request, freeShare, returning) => {
                const isAdmitted = level.admits(request, freeShare, returning);
                if (!isAdmitted) {
                    refusals.add(1, { service: request.service, urgency: String(request.urgency) });
                }
                return isAdmitted;
            },
        },
        returns: createReturns({ clock, random: options.random, level, hostCount }),
        observePeer: (hostId, demand) => {
            const rows = parseDemandRows(demand, rowCount => invalidRows.add(rowCount));
            const known = rows.filter(({ service }) => isKnownService(service));
            if (known.length < rows.length) {
                invalidRows.add(rows.length - known.length);
            }
            level.observePeer(hostId, known);
        },
    };
};
