import { createResourceStack } from "@ibislanding/core";
import { createPeerGroup } from "@ibislanding/peering";
import { createHttpHostList, createHttpKeyValueStore } from "@ibislanding/platform";
import { createHttpListener, type ProgramContext, type RunningProgram } from "@ibislanding/runtime";
import { createAdminServices } from "./createAdminServices";
import { createAdminHandler } from "./http/createAdminHandler";
import { createAuthenticator } from "./operators/createAuthenticator";
import { createListedMemberReports } from "./ports/createListedMemberReports";
import type { AdminSettings } from "./settings/adminSettings";

/** Starts the `ibis-admin` program: joins the peer group and starts the listener of the administration API. */
export const startAdmin = async (
    { settings, hostId, logger, metrics, clock, random }: ProgramContext<AdminSettings>,
): Promise<RunningProgram> => {
    const { admin, operators, platform } = settings;
    const stopping = new AbortController();
    const stack = createResourceStack();
    const store = stack.use(createHttpKeyValueStore(platform.keyValueUrl));
    const hostList = stack.use(createHttpHostList(platform.hostListUrl));
    const group = stack.use(
        await createPeerGroup({
            hostId,
            role: "admin",
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
    const { configuration: follower, membership } = group;
    const services = createAdminServices({
        store,
        follower,
        members: stack.use(createListedMemberReports({ membership, hostList, clock })),
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
    const listener = stack.use(await createHttpListener(admin.listener, handler));
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
        urls: { admin: listener.url, internal: group.address },
        drain: async deadlineMs => {
            stopping.abort();
            const left = membership.leave();
            listener.stopAccepting();
            await listener.waitUntilDrained(deadlineMs);
            await left;
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
};
