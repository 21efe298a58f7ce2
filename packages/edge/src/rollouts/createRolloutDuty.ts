import { ErrorCode, type Failure, type FencingNumber, type ServiceName } from "@ibislanding/core";
import { advanceRollout, type RolloutOrder, type RolloutPhase, type RolloutState } from "@ibislanding/rollouts";
import type { KnownRollout } from "./knownRollout";
import type { RolloutDutyOptions } from "./rolloutDutyOptions";
import type { RolloutStatus } from "./rolloutStatus";

/**
 * Time for a phase to be in force at all hosts: in a large group, a host hears of it with the next message to its collector,
 * every 650 ms, and fetches it then.
 */
const PHASE_IN_FORCE_MS = 1_000;

const OUTCOMES: Readonly<Record<RolloutPhase, RolloutStatus["outcome"]>> = {
    "canary": "running",
    "ramp": "running",
    "promoting": "running",
    "completed": "completed",
    "rolled-back": "rolled-back",
};

/** The order of a state, for an order whose entry was removed or can't be read any more. */
const toOrder = ({ orderId, service, target, startedAtMs, deadlineMs }: RolloutState): RolloutOrder => ({
    orderId,
    service,
    target,
    durationMs: deadlineMs - startedAtMs,
});

/**
 * Creates the duty that advances rollouts: it stores the next state of each, and then its status for the operators.
 *
 * Handles lease holders that die or lose the lease between the two writes: the next holder continues from the stored state
 * and writes the status that belongs to it.
 */
export const createRolloutDuty = (options: RolloutDutyOptions) => {
    const { log, store, storeEpoch, documents, rollouts, bounds, upstreams, nowMs } = options;
    const { registry } = rollouts;
    const { statusKeyOf, encodeStatus } = documents.rollouts;
    /** Statuses that are known to be stored, while the same lease is held and within an epoch of the store. */
    const statuses = new Map<ServiceName, { readonly value: string | undefined; readonly version: number; }>();
    let statusesOf = "";
    /** The last logged failure of each key, which is logged once until it changes. */
    const failures = new Map<string, ErrorCode>();

    const recordFailure = (key: string, failure: Failure | undefined): void => {
        if (failure === undefined) {
            failures.delete(key);
            return;
        }
        if (failures.get(key) !== failure.code) {
            failures.set(key, failure.code);
            log.write("rollout_write_failed", { key, reason: failure.code });
        }
    };

    /**
     * Requests at other versions that are known to run. It is not known to be 0 before all hosts have reported after they
     * heard of the phase, since until then they sent requests there.
     */
    const countOldStreams = (service: ServiceName, { target, phaseSinceMs }: RolloutState): number => {
        const running = rollouts.runningExcept(service, target);
        return options.haveAllPeersReportedSince(phaseSinceMs + PHASE_IN_FORCE_MS) ? running : Math.max(1, running);
    };

    const describe = (state: RolloutState) => {
        const rows = rollouts.evidenceOf(state.service).at(-1)?.rows ?? [];
        const ofTarget = rows.filter(({ version }) => version === state.target);
        const sum = (select: (row: typeof rows[number]) => number): number =>
            ofTarget.reduce((total, row) => total + select(row), 0);
        const { service, target, orderId, share, reason } = state;
        return {
            service,
            target,
            orderId,
            share,
            reason,
            sent: sum(({ sent }) => sent),
            answers: sum(({ answers }) => answers),
            failures: sum(row => row.failures),
            slow: sum(({ slow }) => slow),
        };
    };

    /** Logs the beginning of a rollout, with the order's duration, or its rejection. */
    const logBeginning = (previous: RolloutState | undefined, state: RolloutState, order: RolloutOrder): void => {
        if (previous?.orderId === state.orderId) {
            return;
        }
        const isRejected = state.phase === "rolled-back";
        log.write(isRejected ? "rollout_rejected" : "rollout_started", {
            ...describe(state),
            durationMs: order.durationMs,
            phase: state.phase,
        });
    };

    /** Stores a state if the store has another one; returns whether the store has it. */
    const storeState = async (
        state: RolloutState,
        stored: KnownRollout["stored"],
        mayWrite: () => boolean,
    ): Promise<boolean> => {
        const value = JSON.stringify(state);
        if (stored?.value === value) {
            return true;
        }
        if (!mayWrite()) {
            return false;
        }
        const key = registry.stateKeyOf(state.service);
        const expectedVersion = stored?.version ?? 0;
        const written = await store.compareAndSwap({ key, expectedVersion, value }, { cause: "duty" });
        recordFailure(key, written.ok ? undefined : written.val);
        if (written.ok) {
            registry.recordStored(state, written.val);
            return true;
        }
        if (written.val.code === ErrorCode.KeyValueConflict) {
            const current = await store.get(key, { cause: "duty" });
            if (current.ok) {
                registry.observeState(state.service, current.val);
            }
        }
        return false;
    };

    const readStatus = async (service: ServiceName): Promise<ReturnType<typeof statuses.get>> => {
        const key = statusKeyOf(service);
        const entry = await store.get(key, { cause: "duty" });
        if (entry.err) {
            recordFailure(key, entry.val);
            return undefined;
        }
        const status = { value: entry.val?.value, version: entry.val?.version ?? 0 };
        statuses.set(service, status);
        return status;
    };

    const writeStatus = async (state: RolloutState, mayWrite: () => boolean): Promise<void> => {
        const { service, target, phase } = state;
        const value = encodeStatus({ outcome: OUTCOMES[phase], target });
        const known = statuses.get(service) ?? await readStatus(service);
        if (known === undefined || known.value === value || !mayWrite()) {
            return;
        }
        const key = statusKeyOf(service);
        const written = await store.compareAndSwap({ key, expectedVersion: known.version, value }, { cause: "duty" });
        recordFailure(key, written.ok ? undefined : written.val);
        if (written.err) {
            // Whether it was applied is found out with the next step.
            statuses.delete(service);
            return;
        }
        statuses.set(service, { value, version: written.val });
        log.write("rollout_status_written", { ...describe(state), outcome: OUTCOMES[phase], phase });
    };

    const advance = async (
        { service, order: knownOrder, state, stored }: KnownRollout,
        mayWrite: () => boolean,
    ): Promise<void> => {
        const order = knownOrder ?? (state === undefined ? undefined : toOrder(state));
        const hasService = options.hasService(service);
        if (order === undefined || hasService === undefined) {
            return;
        }
        const next = advanceRollout({
            state,
            order,
            hasService,
            evidence: rollouts.evidenceOf(service),
            upstreams: upstreams.records().filter(record => record.service === service),
            oldStreams: state === undefined ? 1 : countOldStreams(service, state),
            bounds,
            nowMs: nowMs(),
        });
        if (!await storeState(next, stored, mayWrite)) {
            return;
        }
        logBeginning(state, next, order);
        await writeStatus(next, mayWrite);
    };

    return async (fencingNumber: () => FencingNumber | undefined): Promise<void> => {
        const held = fencingNumber();
        const lease = `${held} ${storeEpoch.current()}`;
        if (lease !== statusesOf) {
            statusesOf = lease;
            statuses.clear();
        }
        const mayWrite = (): boolean => held !== undefined && fencingNumber() === held;
        await Promise.all(registry.rollouts().map(known => advance(known, mayWrite)));
    };
};
