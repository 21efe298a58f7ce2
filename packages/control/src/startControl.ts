import { createHasher, createResourceStack } from "@ibislanding/core";
import { createPeerGroup } from "@ibislanding/peering";
import {
    createHttpCloudApi,
    createHttpHostList,
    createHttpKeyValueStore,
    createHttpWeightStore,
} from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ProgramContext, RunningProgram } from "@ibislanding/runtime";
import { createHttpEngineClient } from "@ibislanding/upstreams";
import { createControlTasks } from "./createControlTasks";
import { CONTROL_ROLE } from "./group/controlRole";
import { createControlGroup } from "./group/createControlGroup";
import { createEngineClients } from "./observe/createEngineClients";
import { createUnavailablePlatform } from "./orders/createUnavailablePlatform";
import type { ControlSettings } from "./settings/controlSettings";

/** Starts the `ibis-control` program: joins the peer group, starts the control tasks and follows the configuration. */
export const startControl = async (context: ProgramContext<ControlSettings>): Promise<RunningProgram> => {
    const { settings, hostId, clock, random, logger } = context;
    const { keyValueUrl, hostListUrl, cloudUrl, weightStoreUrl } = settings.platform;
    const resources = createResourceStack();
    const unavailable = createUnavailablePlatform();
    const store = resources.use(createHttpKeyValueStore(keyValueUrl));
    const hostList = resources.use(createHttpHostList(hostListUrl));
    const { membership, configuration, address } = resources.use(
        await createPeerGroup({
            hostId,
            role: CONTROL_ROLE,
            process: settings.process,
            listener: settings.internal,
            seeds: settings.membership.seeds,
            store,
            hostList,
            clock,
            random,
            logger,
            onConfiguration: ({ revision }) => logger.info("configuration in force", { revision }),
        }),
    );
    const tasks = resources.use(createControlTasks({
        context,
        hasher: await createHasher(),
        store,
        hostList,
        cloud: cloudUrl === undefined ? unavailable : resources.use(createHttpCloudApi(cloudUrl)),
        weights: weightStoreUrl === undefined ? unavailable : resources.use(createHttpWeightStore(weightStoreUrl)),
        engines: createEngineClients(clock, url => createHttpEngineClient(url)),
        group: createControlGroup(membership, clock),
    }));
    const applyConfiguration = (document: ConfigurationDocument | undefined): void => {
        if (document !== undefined) {
            tasks.applyConfiguration(document);
        }
    };
    resources.defer(configuration.subscribe(applyConfiguration));
    applyConfiguration(configuration.current());
    const state = { stopping: false };
    context.metrics.gauge(
        "ibis_configuration_revision",
        "Revision in force.",
        () => configuration.current()?.revision ?? 0,
    );

    return {
        notReadyReason: () => {
            if (state.stopping) {
                return "stopping";
            }
            return configuration.current() === undefined ? "no configuration" : undefined;
        },
        urls: { internal: address },
        stateDump: () => ({
            hostId,
            stopping: state.stopping,
            configuration: configuration.stateDump(),
            membership: membership.stateDump(),
            services: tasks.stateDump(),
        }),
        drain: async () => {
            state.stopping = true;
            await tasks[Symbol.asyncDispose]();
            await membership.leave();
        },
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
