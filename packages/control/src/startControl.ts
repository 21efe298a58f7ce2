import { createConfigurationFollower } from "@ibislanding/configuration";
import { createHasher, createResourceStack } from "@ibislanding/core";
import {
    createHttpCloudApi,
    createHttpHostList,
    createHttpKeyValueStore,
    createHttpWeightStore,
} from "@ibislanding/platform";
import type { ProgramContext, RunningProgram } from "@ibislanding/runtime";
import { createHttpEngineClient } from "@ibislanding/upstreams";
import { createControlTasks } from "./createControlTasks";
import { createControlGroup } from "./group/createControlGroup";
import { createEngineClients } from "./observe/createEngineClients";
import { createUnavailablePlatform } from "./orders/createUnavailablePlatform";
import type { ControlSettings } from "./settings/controlSettings";

/** Starts a control host. */
export const startControl = async (context: ProgramContext<ControlSettings>): Promise<RunningProgram> => {
    const { settings, hostId, clock, random, logger } = context;
    const { keyValueUrl, hostListUrl, cloudUrl, weightStoreUrl } = settings.platform;
    const resources = createResourceStack();
    const unavailable = createUnavailablePlatform();
    const store = resources.use(createHttpKeyValueStore(keyValueUrl));
    const hostList = resources.use(createHttpHostList(hostListUrl));
    const group = resources.use(await createControlGroup({ context, hostList }));
    const tasks = resources.use(createControlTasks({
        context,
        hasher: await createHasher(),
        store,
        hostList,
        cloud: cloudUrl === undefined ? unavailable : resources.use(createHttpCloudApi(cloudUrl)),
        weights: weightStoreUrl === undefined ? unavailable : resources.use(createHttpWeightStore(weightStoreUrl)),
        engines: createEngineClients(clock, url => createHttpEngineClient(url)),
        group,
    }));
    const follower = resources.use(createConfigurationFollower({
        store,
        peers: group.configurationPeers,
        clock,
        random,
        onAdvance: document => {
            tasks.applyConfiguration(document);
            group.setConfigurationRevision(document.revision);
            logger.info("configuration in force", { revision: document.revision });
        },
    }));
    group.serveConfiguration(follower);
    const state = { stopping: false };
    context.metrics.gauge("ibis_configuration_revision", "Revision in force.", () => follower.current()?.revision ?? 0);

    return {
        notReadyReason: () => {
            if (state.stopping) {
                return "stopping";
            }
            return follower.current() === undefined ? "no configuration" : undefined;
        },
        urls: {},
        stateDump: () => ({
            hostId,
            stopping: state.stopping,
            configuration: follower.stateDump(),
            group: group.stateDump(),
            services: tasks.stateDump(),
        }),
        drain: async () => {
            state.stopping = true;
            await tasks[Symbol.asyncDispose]();
            await group.leave();
        },
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
