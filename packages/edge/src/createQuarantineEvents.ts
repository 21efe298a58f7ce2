import { type FeatureId, type FeatureKind, parseFeatureId, type QuarantineEvents } from "@ibislanding/quarantine";
import type { EventLog, MetricsRegistry } from "@ibislanding/runtime";

type Counter = ReturnType<MetricsRegistry["counter"]>;

/** Log events by kind of feature, and the field with its value. */
const EVENTS: Readonly<Record<FeatureKind, { readonly name: string; readonly field: string; }>> = {
    part: { name: "prompt_part", field: "part" },
    request: { name: "request", field: "fingerprint" },
};

const describeFeature = (featureId: FeatureId) => {
    const { kind, value } = parseFeatureId(featureId) ?? { kind: "part" as const, value: featureId };
    const { name, field } = EVENTS[kind];
    return { kind, name, fields: { [field]: value } };
};

const valuesOf = (featureIds: readonly FeatureId[], kind: FeatureKind): string | undefined => {
    const values = featureIds.flatMap(featureId => {
        const feature = parseFeatureId(featureId);
        return feature?.kind === kind ? [feature.value] : [];
    });
    return values.length === 0 ? undefined : values.join(" ");
};

/** Creates the handlers that log and count accusations and quarantines; `onOwn` is called for what the peers must know. */
export const createQuarantineEvents = (
    log: EventLog,
    metrics: MetricsRegistry,
    onOwn: () => void,
): QuarantineEvents => {
    const quarantined: Readonly<Record<FeatureKind, Counter>> = {
        part: metrics.counter("ibis_prompt_parts_quarantined_total", "Prompt parts that were quarantined."),
        request: metrics.counter("ibis_requests_quarantined_total", "Requests that were quarantined."),
    };

    const announce = (isOwn: boolean): void => {
        if (isOwn) {
            onOwn();
        }
    };

    return {
        onAccused: ({ upstreamId, startedAtMs, featureIds, crashedAtMs, runMs }, isOwn) => {
            log.write("request_accused", {
                upstreamId,
                startedAtMs,
                fingerprint: valuesOf(featureIds, "request"),
                parts: valuesOf(featureIds, "part"),
                crashedAtMs: Math.round(crashedAtMs),
                runMs: Math.round(runMs),
                isOwn,
            });
            announce(isOwn);
        },
        onCleared: (featureId, beganAtMs, isOwn) => {
            const { name, fields } = describeFeature(featureId);
            log.write(`${name}_cleared`, { ...fields, beganAtMs: Math.round(beganAtMs), isOwn });
        },
        onQuarantined: ({ featureId, crashes, firstCrashAtMs }, isOwn) => {
            const { kind, name, fields } = describeFeature(featureId);
            quarantined[kind].add(1);
            log.write(`${name}_quarantined`, { ...fields, crashes, firstCrashAtMs: Math.round(firstCrashAtMs), isOwn });
            announce(isOwn);
        },
        onTried: ({ featureId, crashes }) => {
            const { name, fields } = describeFeature(featureId);
            log.write(`${name}_tried`, { ...fields, crashes });
            announce(true);
        },
        onEnded: ({ featureId, crashes }, reason) => {
            const { name, fields } = describeFeature(featureId);
            log.write(`${name}_quarantine_ended`, { ...fields, crashes, reason });
            announce(reason === "operator");
        },
    };
};
