import { createResourceStack } from "@ibislanding/core";
import { createLeaseHolder, defaultPlacementPolicy, rankCandidates } from "@ibislanding/placement";
import type { ControlTasks } from "./controlTasks";
import type { ControlTasksOptions } from "./controlTasksOptions";
import { createUpstreamObserver } from "./observe/createUpstreamObserver";
import { createOrderObserver } from "./orders/createOrderObserver";
import type { OrderPorts } from "./orders/orderPorts";
import { createReclaimWatcher } from "./reclaim/createReclaimWatcher";
import { createServiceTask } from "./service/createServiceTask";
import { createServiceTasks } from "./service/createServiceTasks";
import type { DesiredService } from "./service/desiredService";
import { createStatusWriter } from "./status/createStatusWriter";
import { createPeriodicTask } from "./tasks/createPeriodicTask";

/** Control hosts that contend for the lease of one service; other hosts make no lease calls for it. */
const CONTENDERS_PER_LEASE = 2;

/** Control hosts that poll for reclaim notices; with several, a notice still arrives when some of them fail. */
const RECLAIM_WATCHERS = 3;

/** Lease steps per lease duration; most steps make no call to the key-value service. */
const STEPS_PER_LEASE = 10;

/** Starts the tasks of a control host: observation, reclaim notices and one task per service. */
export const createControlTasks = (options: ControlTasksOptions): ControlTasks => {
    const { context, hasher, store, cloud, group } = options;
    const { settings, hostId, clock, random, logger, metrics } = context;
    const { control } = settings;
    const resources = createResourceStack();
    const onError = (error: unknown): void =>
        logger.error("task failed", { reason: error instanceof Error ? error.stack : typeof error });
    const onOrder = createOrderObserver(logger, metrics);

    const rankFor = (partition: string, contenders: number): number | undefined => {
        const rank = rankCandidates(hasher, partition, group.controlHosts()).indexOf(hostId);
        return rank < 0 || rank >= contenders ? undefined : rank;
    };

    const ports: OrderPorts = {
        cloud,
        cloudHonoursFencing: control.cloudHonoursFencing,
        weights: options.weights,
        engineAt: url => options.engines.get(url).client,
        announceLeaving: group.announceLeaving,
    };

    const startServiceTask = (service: string, desired: () => DesiredService | undefined) =>
        createServiceTask({
            createLease: onChange =>
                createLeaseHolder({
                    store,
                    clock,
                    random,
                    key: `control/leases/${service}`,
                    holder: hostId,
                    durationMs: control.leaseDurationMs,
                    longestPauseMs: control.longestPauseMs,
                    rank: () => rankFor(service, CONTENDERS_PER_LEASE),
                    onChange: held => {
                        logger.info("lease changed", { service, held });
                        onChange(held);
                    },
                }),
            store,
            clock,
            random,
            ports,
            policy: defaultPlacementPolicy,
            desired,
            upstreams: () => observer.upstreamsOf(service),
            demand: () => observer.demandOf(service),
            reclaimDeadlinesMs: group.reclaimDeadlinesMs,
            scaleInDelayMs: control.scaleInDelayMs,
            statuses: createStatusWriter(store, clock),
            leaseStepMs: control.leaseDurationMs / STEPS_PER_LEASE,
            roundIntervalMs: control.roundIntervalMs,
            onOrder,
            onError,
        });

    const services = createServiceTasks(startServiceTask);
    const observer = resources.use(createUpstreamObserver({
        clock,
        hostList: options.hostList,
        engines: options.engines,
        services: services.heldServices,
    }));
    resources.use(createPeriodicTask({
        clock,
        intervalMs: control.roundIntervalMs,
        run: observer.observe,
        onError,
    }));
    resources.use(createReclaimWatcher({
        clock,
        cloud,
        isActive: () => rankFor("reclaim-notices", RECLAIM_WATCHERS) !== undefined,
        onNotice: ({ upstreamId, deadlineMs }) => {
            logger.info("reclaim announced", { upstreamId, deadlineMs });
            group.announceLeaving(upstreamId, deadlineMs);
            services.trigger();
        },
    }));
    resources.use(services);
    group.subscribe(services.trigger);
    metrics.gauge(
        "ibis_control_leases",
        "Services whose lease this process holds.",
        () => services.heldServices().size,
    );

    return {
        applyConfiguration: services.apply,
        stateDump: services.stateDump,
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
