import {
    createConfigurationFollower,
    createConfigurationPeers,
    createConfigurationService,
} from "@ibislanding/configuration";
import { type AvailabilityZone, createResourceStack, FailureError, type Region } from "@ibislanding/core";
import { createMembership, createMembershipService, createMembershipTransport } from "@ibislanding/membership";
import { createPeerClients, createPeerServer, type PeerAddress } from "@ibislanding/protocol";
import type { PeerGroup } from "./peerGroup";
import type { PeerGroupOptions } from "./peerGroupOptions";
import { readPeerCredentials } from "./readPeerCredentials";
import { samplePeers } from "./samplePeers";

const REGISTRATION_PERIOD_MS = 5_000;

/** Joins the group: listens, registers with the host list, gossips, and follows the configuration. */
export const createPeerGroup = async (options: PeerGroupOptions): Promise<PeerGroup> => {
    const { clock, hostId, hostList, listener, logger, random } = options;
    const stack = createResourceStack();
    const credentials = readPeerCredentials(listener.tls);
    const stopping = new AbortController();
    const current: { group?: PeerGroup; } = {};
    const group = (): PeerGroup => {
        if (current.group === undefined) {
            throw new TypeError("the group is not created yet");
        }
        return current.group;
    };
    const onError = (error: unknown): void =>
        logger.error("internal error", { reason: error instanceof Error ? error.stack : typeof error });

    const listening = await createPeerServer({
        address: `${listener.address}:${listener.port}`,
        credentials,
        services: [
            createMembershipService({
                handleProbe: request => group().membership.handleProbe(request),
                handleSync: request => group().membership.handleSync(request),
            }),
            createConfigurationService({
                current: () => group().configuration.current(),
                offer: document => group().configuration.offer(document),
            }),
            ...options.services?.(group) ?? [],
        ],
    });
    if (listening.err) {
        throw new FailureError(listening.val);
    }
    const server = stack.use(listening.val);
    const clients = stack.use(createPeerClients({ credentials }));
    const region = options.process.region as Region;
    const availabilityZone = options.process.availabilityZone as AvailabilityZone;
    const { address } = server;

    const readSeeds = async (): Promise<readonly PeerAddress[]> => {
        const listed = await hostList.listSystemHosts();
        const addresses = listed.ok
            ? listed.val.filter(record => record.hostId !== hostId).map(record => record.address)
            : [];
        return [...addresses, ...options.seeds] as PeerAddress[];
    };

    const register = async (): Promise<void> => {
        while (!stopping.signal.aborted) {
            await hostList.registerSystemHost({ hostId, address, role: options.role, region, availabilityZone });
            await clock.sleep(REGISTRATION_PERIOD_MS, stopping.signal);
        }
    };

    const membership = stack.use(createMembership({
        self: { hostId, address, role: options.role, region, availabilityZone },
        seeds: readSeeds,
        clock,
        random,
        transport: createMembershipTransport(clients),
        onError,
    }));
    const others = () => membership.liveMembers().filter(member => member.hostId !== hostId);
    const configuration = stack.use(createConfigurationFollower({
        store: options.store,
        peers: createConfigurationPeers({ clients, sample: count => samplePeers(others(), count, random) }),
        clock,
        random,
        onAdvance: document => {
            membership.setConfigurationRevision(document.revision);
            options.onConfiguration(document);
        },
        onError,
    }));
    const registering = register();
    stack.defer(async () => {
        stopping.abort();
        await registering;
    });
    current.group = {
        membership,
        configuration,
        clients,
        address,
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
    return current.group;
};
