import type { ServiceName } from "@ibislanding/core";
import { createVersionCounters } from "@ibislanding/gateway";
import { createVersionGate, type EvidenceSeries, judgeVersion, type RolloutOrderId } from "@ibislanding/rollouts";
import { createRolloutEvidence } from "./createRolloutEvidence";
import { createRolloutRegistry } from "./createRolloutRegistry";
import type { KnownRollout } from "./knownRollout";
import type { Rollouts } from "./rollouts";
import type { RolloutsOptions } from "./rolloutsOptions";

/** Interval at which the share of a target is adapted to new evidence. */
const UPDATE_INTERVAL_MS = 300;

/** Values of the metric of phases; an order without a known state has the first one. */
const PHASE_NUMBERS = { "canary": 1, "ramp": 2, "promoting": 3, "completed": 4, "rolled-back": 5 } as const;

const ORDERED_PHASE_NUMBER = 0;

/** Starts to follow rollouts, without any that are known. */
export const createRollouts = (options: RolloutsOptions): Rollouts => {
    const { clock, metrics, settings, bounds, hasher, upstreams, nowMs, isFollowing } = options;
    const stop = new AbortController();
    const gate = createVersionGate({ hostId: settings.hostId, hasher, bounds });
    const counters = createVersionCounters({ clock, upstreams, isCounted: service => registry.isCounted(service) });
    const evidence = createRolloutEvidence(clock, counters.rows);
    const badEvidence = new Map<
        ServiceName,
        { readonly orderId: RolloutOrderId; readonly series: EvidenceSeries; }
    >();
    let followedAtMs = clock.monotonicMs();

    /**
     * Keeps the evidence that showed that a target is bad. The gate sends nothing to such a target any more, and the verdict
     * must not depend on whether the duty runs before newer counters of the other versions change it.
     */
    const keepBadEvidence = ({ service, order, state }: KnownRollout): void => {
        const current = order ?? state;
        if (badEvidence.get(service)?.orderId !== current?.orderId) {
            badEvidence.delete(service);
        }
        const series = gate.evidenceOf(service);
        if (current !== undefined && !badEvidence.has(service) && judgeVersion(current.target, series).kind === "bad") {
            badEvidence.set(service, { orderId: current.orderId, series });
        }
    };

    const updateService = (known: KnownRollout): void => {
        const { service, order, state } = known;
        gate.update({
            service,
            order,
            state,
            stateAgeMs: clock.monotonicMs() - followedAtMs,
            evidence: evidence.evidenceOf(service),
            upstreams: upstreams.records().filter(record => record.service === service),
            nowMs: nowMs(),
        });
        keepBadEvidence(known);
    };

    const update = (): void => {
        followedAtMs = isFollowing() ? clock.monotonicMs() : followedAtMs;
        registry.rollouts().forEach(updateService);
    };

    const registry = createRolloutRegistry({ ...options, onChange: update });

    metrics.labelledGauge(
        "ibis_rollout_share",
        "Share of a service's new requests that this host sends to the target of its rollout.",
        () => registry.rollouts().map(({ service }) => ({ labels: { service }, value: gate.shareOf(service) ?? 0 })),
    );
    metrics.labelledGauge(
        "ibis_rollout_phase",
        "Phase of a service's rollout: 0 ordered, 1 canary, 2 ramp, 3 promoting, 4 completed, 5 rolled back.",
        () =>
            registry.rollouts().map(({ service, state }) => ({
                labels: { service },
                value: state === undefined ? ORDERED_PHASE_NUMBER : PHASE_NUMBERS[state.phase],
            })),
    );

    const run = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            await clock.sleep(UPDATE_INTERVAL_MS, stop.signal);
            update();
        }
    };
    const running = run();

    return {
        registry,
        policy: { ruleFor: gate.ruleFor, trackRun: counters.trackRun },
        peekRule: gate.peekRule,
        counts: counters.rows,
        observePeer: evidence.observePeer,
        evidenceOf: service => badEvidence.get(service)?.series ?? gate.evidenceOf(service),
        runningExcept: evidence.runningExcept,
        summaries: () =>
            registry.rollouts().map(({ service, order, state }) => {
                const target = order?.target ?? state?.target;
                const current = order === undefined || state?.orderId === order.orderId ? state : undefined;
                return {
                    service,
                    target,
                    orderId: order?.orderId ?? state?.orderId,
                    phase: current?.phase,
                    reason: current?.reason,
                    share: gate.shareOf(service),
                    startedAtMs: current?.startedAtMs,
                    phaseSinceMs: current?.phaseSinceMs,
                    deadlineMs: current?.deadlineMs,
                    runningElsewhere: target === undefined ? 0 : evidence.runningExcept(service, target),
                    versions: evidence.evidenceOf(service),
                };
            }),
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
        },
    };
};
