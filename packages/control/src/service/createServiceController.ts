import { ErrorCode, type Failure } from "@ibislanding/core";
import {
    abandonStart,
    choiceKey,
    confirmStart,
    type ControlOrder,
    type LeaseGrant,
    type ObservedUpstream,
    orderKey,
    type PlacementConditions,
    planOrders,
    planPlacement,
    recordRefusal,
    type Refusal,
    type ServicePlan,
    startOperationId,
} from "@ibislanding/placement";
import { createOrderSender } from "../orders/createOrderSender";
import type { OrderOutcome } from "../orders/orderOutcome";
import { createDemandWindow } from "./createDemandWindow";
import type { DesiredService } from "./desiredService";
import { readPlan } from "./readPlan";
import type { ServiceController } from "./serviceController";
import type { ServiceControllerOptions } from "./serviceControllerOptions";
import type { StoredPlan } from "./storedPlan";
import { storePlan } from "./storePlan";

type StartHostOrder = Extract<ControlOrder, { type: "start-host"; }>;

interface SentOrder {
    readonly order: ControlOrder;
    readonly outcome: OrderOutcome;
}

/** Samples up to this age count towards the current demand. */
const CURRENT_DEMAND_WINDOW_MS = 10_000;

const isLoad = ({ type }: ControlOrder): boolean => type === "load-model" || type === "load-adapter";

/** Whether the platform rejected the order, so that it had no effect and may be sent again. */
const isRefused = (failure: Failure): boolean => failure.code === ErrorCode.PlatformRefused;

/** Creates the controller of one service; all state that the next lease holder needs is in the stored plan. */
export const createServiceController = (options: ServiceControllerOptions): ServiceController => {
    const { lease, store, clock, random, policy } = options;
    const send = createOrderSender(options.ports, lease, () => options.desired()?.spec.honoursFencing ?? false);
    const demand = createDemandWindow(CURRENT_DEMAND_WINDOW_MS, options.scaleInDelayMs);
    const sentAtMs = new Map<string, number>();
    const refusals = new Map<string, Refusal>();
    let stored: StoredPlan | undefined;
    let storedFencingNumber: LeaseGrant["fencingNumber"] | undefined;
    let conditions: PlacementConditions | undefined;
    let loadsNotBeforeMs = 0;

    const resetState = (): void => {
        stored = undefined;
        conditions = undefined;
        sentAtMs.clear();
    };

    const loadPlan = async (service: string, grant: LeaseGrant): Promise<StoredPlan | undefined> => {
        if (storedFencingNumber !== grant.fencingNumber) {
            resetState();
            storedFencingNumber = grant.fencingNumber;
        }
        if (stored === undefined) {
            const result = await readPlan(store, service);
            stored = result.ok ? result.val : undefined;
        }
        return stored;
    };

    /** Stores a plan if it changed; returns undefined if it isn't known to be stored and must not be acted on. */
    const commit = async (previous: StoredPlan, plan: ServicePlan): Promise<StoredPlan | undefined> => {
        if (plan === previous.plan) {
            return previous;
        }
        const result = await storePlan(store, previous, plan);
        stored = result.ok ? result.val : undefined;
        return stored;
    };

    const refusedKeys = (): ReadonlySet<string> =>
        new Set([...refusals].filter(([, { untilMs }]) => clock.monotonicMs() < untilMs).map(([key]) => key));

    const planNext = (
        desired: DesiredService,
        plan: ServicePlan,
        upstreams: readonly ObservedUpstream[],
    ): ServicePlan => {
        const nowMs = clock.monotonicMs();
        demand.record(options.demand(), nowMs);
        const decision = planPlacement({
            ...desired,
            nowMs: clock.wallMs(),
            plan,
            upstreams,
            reclaimDeadlinesMs: options.reclaimDeadlinesMs(),
            demand: demand.current(nowMs),
            recentPeakDemand: demand.recentPeak(nowMs),
            refusedChoiceKeys: refusedKeys(),
            policy,
        });
        conditions = decision.conditions;
        return decision.plan;
    };

    const listOrders = (
        plan: ServicePlan,
        upstreams: readonly ObservedUpstream[],
    ): readonly ControlOrder[] => {
        const monotonicMs = clock.monotonicMs();
        [...sentAtMs].filter(([, atMs]) => monotonicMs - atMs >= policy.orderRetryIntervalMs)
            .forEach(([key]) => sentAtMs.delete(key));
        return planOrders({
            nowMs: clock.wallMs(),
            monotonicMs,
            plan,
            upstreams,
            role: undefined,
            sentAtMs,
            loadsNotBeforeMs,
            policy,
            operationIdOf: options.operationIdOf ?? startOperationId,
        });
    };

    const postponeLoads = (failure: Failure): void => {
        const delayMs = failure.retryAfterMs ?? policy.refusalBackoff.initialDelayMs;
        loadsNotBeforeMs = clock.monotonicMs() + delayMs * (1 + random.nextFloat());
    };

    const sendOne = async (order: ControlOrder): Promise<SentOrder> => {
        sentAtMs.set(orderKey(order), clock.monotonicMs());
        const outcome = await send(order);
        if (outcome.err) {
            if (isLoad(order) && isRefused(outcome.val)) {
                postponeLoads(outcome.val);
            }
            if (isRefused(outcome.val) || outcome.val.code === ErrorCode.LeaseLost) {
                sentAtMs.delete(orderKey(order));
            }
        }
        options.onOrder?.(order, outcome);
        return { order, outcome };
    };

    const recordStartRefusal = ({ choice }: StartHostOrder, failure: Failure): void => {
        const key = choiceKey(choice);
        const nowMs = clock.monotonicMs();
        refusals.set(key, recordRefusal(refusals.get(key), nowMs, failure.retryAfterMs, policy.refusalBackoff, random));
    };

    const applyStart = (plan: ServicePlan, { order, outcome }: SentOrder): ServicePlan => {
        if (order.type !== "start-host") {
            return plan;
        }
        if (outcome.ok) {
            refusals.delete(choiceKey(order.choice));
            return outcome.val === undefined ? plan : confirmStart(plan, order.incarnation, outcome.val);
        }
        if (isRefused(outcome.val)) {
            recordStartRefusal(order, outcome.val);
            return abandonStart(plan, order.incarnation);
        }
        return plan;
    };

    const reconcile = async (): Promise<void> => {
        const grant = lease.grant();
        const desired = options.desired();
        if (grant === undefined || desired === undefined) {
            resetState();
            return;
        }
        const upstreams = options.upstreams();
        const previous = await loadPlan(desired.name, grant);
        if (previous === undefined || upstreams === undefined) {
            return;
        }
        const decided = await commit(previous, planNext(desired, previous.plan, upstreams));
        if (decided === undefined) {
            return;
        }
        const sent = await Promise.all(listOrders(decided.plan, upstreams).map(sendOne));
        await commit(decided, sent.reduce(applyStart, decided.plan));
    };

    return { reconcile, plan: () => stored?.plan, conditions: () => conditions };
};
