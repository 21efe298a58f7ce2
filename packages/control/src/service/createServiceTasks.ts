import type { DesiredService } from "./desiredService";
import { listDesiredServices } from "./listDesiredServices";
import type { ServiceTask } from "./serviceTask";
import type { ServiceTasks } from "./serviceTasks";

interface RunningService {
    readonly task: ServiceTask;
    desired: DesiredService;
}

/** Creates an empty set of service tasks; `start` creates the task of one service. */
export const createServiceTasks = (
    start: (service: string, desired: () => DesiredService | undefined) => ServiceTask,
): ServiceTasks => {
    const running = new Map<string, RunningService>();
    const pendingDisposals = new Set<Promise<void>>();

    const stopTask = (service: string): void => {
        const stopped = running.get(service);
        running.delete(service);
        const dispose = async (): Promise<void> => {
            await stopped?.task[Symbol.asyncDispose]();
            pendingDisposals.delete(disposal);
        };
        const disposal = dispose();
        pendingDisposals.add(disposal);
    };

    const startOrUpdate = (desired: DesiredService): void => {
        const existing = running.get(desired.name);
        if (existing === undefined) {
            const task = start(desired.name, () => running.get(desired.name)?.desired);
            running.set(desired.name, { task, desired });
        }
        else {
            existing.desired = desired;
            existing.task.trigger();
        }
    };

    return {
        apply: document => {
            const services = listDesiredServices(document);
            const names = new Set(services.map(({ name }) => name));
            [...running.keys()].filter(name => !names.has(name)).forEach(stopTask);
            services.forEach(startOrUpdate);
        },
        trigger: () => running.forEach(({ task }) => task.trigger()),
        heldServices: () => new Set([...running].filter(([, { task }]) => task.holdsLease()).map(([name]) => name)),
        stateDump: () => Object.fromEntries([...running].map(([name, { task }]) => [name, task.stateDump()])),
        [Symbol.asyncDispose]: async () => {
            [...running.keys()].forEach(stopTask);
            await Promise.all(pendingDisposals);
        },
    };
};
