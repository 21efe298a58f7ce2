import { createHasher, createResourceStack } from "@ibislanding/core";
import { createLedgerService } from "@ibislanding/ledger";
import { createLimitsState } from "@ibislanding/limits";
import { createPeerGroup, type PeerGroup } from "@ibislanding/peering";
import { createHttpHostList, createHttpKeyValueStore } from "@ibislanding/platform";
import { type ConfigurationDocument, listResources } from "@ibislanding/resources";
import { applyRoutingEvent } from "@ibislanding/routing";
import { createHttpListener, type ProgramContext, type RunningProgram } from "@ibislanding/runtime";
import { createEventIdCodec } from "@ibislanding/streams";
import { createHttpEngineClient, createHttpServiceClient } from "@ibislanding/upstreams";
import { createCallersHandler } from "./callers/createCallersHandler";
import { createEntryMetrics } from "./createEntryMetrics";
import { describeEntry } from "./describeEntry";
import type { EntryServices } from "./entryServices";
import { forwardMembershipChanges } from "./forwardMembershipChanges";
import { startUsageExchange } from "./limits/startUsageExchange";
import { createEntryLedger } from "./services/createEntryLedger";
import type { EntrySettings } from "./settings/entrySettings";
import { createUpstreamDirectory } from "./upstreams/createUpstreamDirectory";

/** Delay between failing readiness and closing the listener, in which load balancers stop sending requests. */
const UNREADY_LEAD_MS = 500;

/** Time before the stop deadline at which remaining streams are closed, so that callers resume them at other hosts. */
const HANDOVER_LEAD_MS = 2_000;

/** Starts an entry host: the peer group, the ledger, the upstream polls and the callers' listener. */
export const startEntry = async (context: ProgramContext<EntrySettings>): Promise<RunningProgram> => {
    const { settings, hostId, clock, random, logger } = context;
    const stack = createResourceStack();
    const hasher = await createHasher();
    const store = stack.use(createHttpKeyValueStore(settings.platform.keyValueUrl));
    const hostList = stack.use(createHttpHostList(settings.platform.hostListUrl));
    const limits = createLimitsState(hostId);
    const handover = new AbortController();
    const state = { stopping: false };

    const directory = stack.use(createUpstreamDirectory({
        clock,
        hasher,
        logger,
        hostList,
        rankUpstream: upstreamId => hasher.hash32(`${hostId}/${upstreamId}`),
        subsetSize: settings.routing.subsetSize,
        createEngineClient: url => createHttpEngineClient(url),
        createServiceClient: url => createHttpServiceClient(url),
        onLeavingReported: upstreamId =>
            group.membership.publishNotice({ upstreamId, kind: "leaving", observedAtMs: clock.wallMs() }),
    }));

    const applyConfiguration = (document: ConfigurationDocument): void => {
        const classes = Object.fromEntries(
            listResources(document, "MachineClass").map(({ name, spec }) => [name, spec]),
        );
        applyRoutingEvent(directory.routing, { type: "machine-classes-declared", classes }, clock.monotonicMs());
        logger.info("configuration in force", { revision: document.revision });
    };

    const group: PeerGroup = stack.use(
        await createPeerGroup({
            hostId,
            role: "entry",
            process: settings.process,
            listener: settings.internal,
            seeds: settings.membership.seeds,
            store,
            hostList,
            clock,
            random,
            logger,
            onConfiguration: applyConfiguration,
            services: () => [createLedgerService({
                claimStatus: claimId => ledger.peerHandler.claimStatus(claimId),
                commit: (shard, operation) => ledger.peerHandler.commit(shard, operation),
            })],
        }),
    );
    const ledger = stack.use(createEntryLedger({ hostId, group, store, clock, random, hasher, logger }));
    stack.defer(forwardMembershipChanges(group.membership, directory, clock));
    stack.use(startUsageExchange(limits, group.membership, clock));

    const services: EntryServices = {
        settings,
        hostId,
        clock,
        random,
        hasher,
        logger,
        limits,
        metrics: createEntryMetrics(context.metrics),
        directory,
        ledger,
        eventIds: createEventIdCodec(settings.streams.eventIdSecret, hasher),
        handover: handover.signal,
    };
    const { configuration } = group;
    const listener = stack.use(
        await createHttpListener(
            settings.callers,
            createCallersHandler(services, configuration.current, () => state.stopping),
        ),
    );
    context.metrics.gauge("ibis_active_requests", "Requests in hand.", listener.activeRequests);
    context.metrics.gauge(
        "ibis_configuration_revision",
        "Revision in force.",
        () => configuration.current()?.revision ?? 0,
    );

    const notReadyReason = (): string | undefined => {
        if (state.stopping) {
            return "stopping";
        }
        return configuration.current() === undefined ? "no configuration" : undefined;
    };

    return {
        notReadyReason,
        urls: { callers: listener.url, internal: group.address },
        stateDump: () => describeEntry(services, group, listener.activeRequests(), state.stopping),
        drain: async deadlineMs => {
            state.stopping = true;
            const leaveCompletion = group.membership.leave();
            await clock.sleep(Math.min(UNREADY_LEAD_MS, deadlineMs / 2));
            listener.stopAccepting();
            if (!await listener.waitUntilDrained(Math.max(0, deadlineMs - UNREADY_LEAD_MS - HANDOVER_LEAD_MS))) {
                handover.abort();
                await listener.waitUntilDrained(HANDOVER_LEAD_MS / 2);
            }
            await leaveCompletion;
        },
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
};
