import {
    type ConfigurationFollower,
    createConfigurationPeers,
    createConfigurationService,
} from "@ibislanding/configuration";
import {
    type AvailabilityZone,
    createFailure,
    createResourceStack,
    ErrorCode,
    FailureError,
    type Region,
} from "@ibislanding/core";
import {
    createMembership,
    createMembershipService,
    createMembershipTransport,
    type MemberIdentity,
    type Membership,
} from "@ibislanding/membership";
import { createPeerClients, createPeerServer, type PeerAddress } from "@ibislanding/protocol";
import { createPeriodicTask } from "../tasks/createPeriodicTask";
import type { ControlGroup } from "./controlGroup";
import type { ControlGroupOptions } from "./controlGroupOptions";
import { createLeavingNotices } from "./createLeavingNotices";
import { readPeerCredentials } from "./readPeerCredentials";
import { samplePeers } from "./samplePeers";

const ROLE = "control";
const REGISTRATION_INTERVAL_MS = 30_000;

interface LateBinding {
    membership?: Membership;
    follower?: ConfigurationFollower;
}

const requireBound = <T>(value: T | undefined): T => {
    if (value === undefined) {
        throw new FailureError(createFailure(ErrorCode.NotReady));
    }
    return value;
};

/** Starts the gRPC listener, joins the group and registers with the host list. */
export const createControlGroup = async ({ context, hostList }: ControlGroupOptions): Promise<ControlGroup> => {
    const { settings, hostId, clock, random, logger } = context;
    const resources = createResourceStack();
    const bound: LateBinding = {};
    const credentials = readPeerCredentials(settings.internal.tls);
    const clients = resources.use(createPeerClients({ credentials }));
    const server = await createPeerServer({
        address: `${settings.internal.address}:${settings.internal.port}`,
        credentials,
        services: [
            createMembershipService({
                handleProbe: async request => requireBound(bound.membership).handleProbe(request),
                handleSync: async request => requireBound(bound.membership).handleSync(request),
            }),
            createConfigurationService({
                current: () => bound.follower?.current(),
                offer: async document => requireBound(bound.follower).offer(document),
            }),
        ],
    });
    if (server.err) {
        throw new FailureError(server.val);
    }
    const { address } = resources.use(server.val);
    const self: MemberIdentity = {
        hostId,
        address,
        role: ROLE,
        region: settings.process.region as Region,
        availabilityZone: settings.process.availabilityZone as AvailabilityZone,
    };
    const onError = (error: unknown): void =>
        logger.error("group failed", { reason: error instanceof Error ? error.stack : typeof error });

    const seeds = async (): Promise<readonly PeerAddress[]> => {
        const listed = await hostList.listSystemHosts();
        const known = listed.ok ? listed.val.map(record => record.address) : [];
        return [...settings.membership.seeds, ...known].filter(seed => seed !== address) as unknown as PeerAddress[];
    };

    const membership = resources.use(createMembership({
        self,
        seeds,
        clock,
        random,
        transport: createMembershipTransport(clients),
        onError,
    }));
    bound.membership = membership;
    resources.use(createPeriodicTask({
        clock,
        intervalMs: REGISTRATION_INTERVAL_MS,
        run: async () => void await hostList.registerSystemHost(self),
        onError,
    }));

    return {
        controlHosts: () => membership.liveMembers(ROLE).map(member => member.hostId),
        ...createLeavingNotices(membership, clock),
        setConfigurationRevision: membership.setConfigurationRevision,
        subscribe: listener => resources.defer(membership.subscribe(listener)),
        configurationPeers: createConfigurationPeers({
            clients,
            sample: count => samplePeers(membership, hostId, count, random),
        }),
        serveConfiguration: follower => {
            bound.follower = follower;
        },
        leave: membership.leave,
        stateDump: membership.stateDump,
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
