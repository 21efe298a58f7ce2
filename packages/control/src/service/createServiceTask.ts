import { listStatuses } from "../status/listStatuses";
import { createPeriodicTask } from "../tasks/createPeriodicTask";
import { createServiceController } from "./createServiceController";
import type { ServiceTask } from "./serviceTask";
import type { ServiceTaskOptions } from "./serviceTaskOptions";

/** Starts the task of one service; disposing of it waits for the current run with its orders, then releases the lease. */
export const createServiceTask = (options: ServiceTaskOptions): ServiceTask => {
    const { clock, onError, statuses } = options;
    const lease = options.createLease(held => {
        statuses.reset();
        if (held) {
            reconcileTask.trigger();
        }
    });
    const controller = createServiceController({ ...options, lease });

    const writeStatuses = async (): Promise<void> => {
        const desired = options.desired();
        const plan = controller.plan();
        const conditions = controller.conditions();
        if (desired !== undefined && plan !== undefined && conditions !== undefined) {
            await statuses.write(listStatuses(desired, plan, conditions, options.upstreams() ?? []));
        }
    };

    const reconcileTask = createPeriodicTask({
        clock,
        intervalMs: options.roundIntervalMs,
        run: async () => {
            await controller.reconcile();
            await writeStatuses();
        },
        onError,
    });
    const leaseTask = createPeriodicTask({ clock, intervalMs: options.leaseStepMs, run: lease.step, onError });

    return {
        holdsLease: () => lease.grant() !== undefined,
        trigger: reconcileTask.trigger,
        stateDump: () => ({ grant: lease.grant(), conditions: controller.conditions(), plan: controller.plan() }),
        [Symbol.asyncDispose]: async () => {
            await reconcileTask[Symbol.asyncDispose]();
            await leaseTask[Symbol.asyncDispose]();
            await lease.release();
        },
    };
};
