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

/** Starts the internal listener, registers with the host list, joins the membership and follows the configuration. */
export const createPeerGroup = async (options: PeerGroupOptions): Promise<PeerGroup> => {
    const { clock, hostId, hostList, listener, logger, random } = options;
    const stack = createResourceStack();
    const credentials = readPeerCredentials(listener.tls);
    const stopController = new AbortController();
    const current: { group?: PeerGroup; } = {};
    const getGroup = (): PeerGroup => {
        if (current.group === undefined) {
            throw new TypeError("peer group is not initialized yet");
        }
        return current.group;
    };
    const onError = (error: unknown): void =>
        logger.error("unexpected error in membership or configuration follower", {
            reason: error instanceof Error ? error.stack : typeof error,
        });

    const serverResult = await createPeerServer({
        address: `${listener.address}:${listener.port}`,
        credentials,
        services: [
            createMembershipService({
                handleProbe: request => getGroup().membership.handleProbe(request),
                handleSync: request => getGroup().membership.handleSync(request),
            }),
            createConfigurationService({
                current: () => getGroup().configuration.current(),
                offer: document => getGroup().configuration.offer(document),
            }),
            ...options.services?.(getGroup) ?? [],
        ],
    });
    if (serverResult.err) {
        throw new FailureError(serverResult.val);
    }
    const server = stack.use(serverResult.val);
    const clients = stack.use(createPeerClients({ credentials }));
    const region = options.process.region as Region;
    const availabilityZone = options.process.availabilityZone as AvailabilityZone;
    const { address } = server;

    const listSeedAddresses = async (): Promise<readonly PeerAddress[]> => {
        const listResult = await hostList.listSystemHosts();
        const addresses = listResult.ok
            ? listResult.val.filter(record => record.hostId !== hostId).map(record => record.address)
            : [];
        return [...addresses, ...options.seeds] as PeerAddress[];
    };

    const registerPeriodically = async (): Promise<void> => {
        while (!stopController.signal.aborted) {
            await hostList.registerSystemHost({ hostId, address, role: options.role, region, availabilityZone });
            await clock.sleep(REGISTRATION_PERIOD_MS, stopController.signal);
        }
    };

    const membership = stack.use(createMembership({
        self: { hostId, address, role: options.role, region, availabilityZone },
        seeds: listSeedAddresses,
        clock,
        random,
        transport: createMembershipTransport(clients),
        onError,
    }));
    const listOtherMembers = () => membership.liveMembers().filter(member => member.hostId !== hostId);
    const configuration = stack.use(createConfigurationFollower({
        store: options.store,
        peers: createConfigurationPeers({ clients, sample: count => samplePeers(listOtherMembers(), count, random) }),
        clock,
        random,
        onAdvance: document => {
            membership.setConfigurationRevision(document.revision);
            options.onConfiguration(document);
        },
        onError,
    }));
    const registrationLoop = registerPeriodically();
    stack.defer(async () => {
        stopController.abort();
        await registrationLoop;
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
