import { createConfigurationFollower } from "@ibislanding/configuration";
import { createHttpKeyValueStore } from "@ibislanding/platform";
import { createHttpListener, type ProgramContext, type RunningProgram } from "@ibislanding/runtime";
import { createAdminServices } from "./createAdminServices";
import { createAdminHandler } from "./http/createAdminHandler";
import { createAuthenticator } from "./operators/createAuthenticator";
import { noConfigurationPeers } from "./ports/noConfigurationPeers";
import type { AdminSettings } from "./settings/adminSettings";

/** Starts the follower of the configuration and the listener of the administration API. */
export const startAdmin = async (
    { settings, logger, metrics, clock, random }: ProgramContext<AdminSettings>,
): Promise<RunningProgram> => {
    const { admin, operators, platform } = settings;
    const stopping = new AbortController();
    const store = createHttpKeyValueStore(platform.keyValueUrl);
    const follower = createConfigurationFollower({ store, peers: noConfigurationPeers, clock, random });
    const services = createAdminServices({
        store,
        follower,
        members: { list: () => [] },
        clock,
        random,
        maximumWatches: admin.maximumWatches,
        watchHeartbeatMs: admin.watchHeartbeatMs,
        stopSignal: stopping.signal,
    });
    const handler = createAdminHandler({
        services,
        authenticate: createAuthenticator(operators),
        maximumBodyBytes: admin.maximumBodyBytes,
        logger,
        metrics,
    });
    const listener = await createHttpListener(admin.listener, handler);
    metrics.gauge("ibis_admin_open_watches", "Open watch streams.", services.watchSlots.inUse);
    metrics.gauge("ibis_configuration_revision", "Known revision.", () => follower.current()?.revision ?? 0);

    const notReadyReason = (): string | undefined => {
        if (stopping.signal.aborted) {
            return "stopping";
        }
        return follower.current() === undefined ? "no configuration" : undefined;
    };

    return {
        notReadyReason,
        stateDump: () => ({
            configuration: follower.stateDump(),
            openWatches: services.watchSlots.inUse(),
            members: services.members.list(),
            operators: operators.map(({ name, teams }) => ({ name, teams })),
        }),
        urls: { admin: listener.url },
        drain: async deadlineMs => {
            stopping.abort();
            listener.stopAccepting();
            await listener.drained(deadlineMs);
        },
        [Symbol.asyncDispose]: async () => {
            await listener[Symbol.asyncDispose]();
            await follower[Symbol.asyncDispose]();
            await store[Symbol.asyncDispose]();
        },
    };
};
