import type { PeerAddress } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { PeerConfiguration } from "../peers/peerConfiguration";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import type { ConfigurationGossip } from "./configurationGossip";
import { defaultFollowerStrategy } from "./defaultFollowerStrategy";

const BOOTSTRAP_INTERVAL_MS = 300;

/** Maximum number of random peer samples that a document is forwarded to while no peer has confirmed it. */
const MAXIMUM_FORWARD_ROUNDS = 3;

/** Creates the gossip; `onDocument` is called with documents from the peers' responses. */
export const createConfigurationGossip = (
    options: ConfigurationFollowerOptions,
    current: () => ConfigurationDocument | undefined,
    onDocument: (document: ConfigurationDocument) => void,
): ConfigurationGossip => {
    const { peers, clock, random, strategy = defaultFollowerStrategy } = options;

    const handleResponse = async (peer: PeerAddress, response: PeerConfiguration): Promise<void> => {
        const local = current();
        if (response.document !== undefined) {
            onDocument(response.document);
        }
        else if (local !== undefined && response.revision !== undefined && response.revision < local.revision) {
            await peers.announce(peer, local);
        }
    };

    const reconcileWith = async (peer: PeerAddress): Promise<void> => {
        const response = await peers.fetch(peer, current()?.revision);
        if (response.ok) {
            await handleResponse(peer, response.val);
        }
    };

    /** Adopts the newest document of several peers, because a single peer may lag. */
    const bootstrap = async (): Promise<void> => {
        const responses = await Promise.all(
            peers.sample(strategy.bootstrapPeers).map(peer => peers.fetch(peer, undefined)),
        );
        const newest = responses
            .flatMap(response => (response.ok && response.val.document !== undefined ? [response.val.document] : []))
            .sort((left, right) => right.revision - left.revision)[0];
        if (newest !== undefined) {
            onDocument(newest);
        }
    };

    const reconcileOnce = async (): Promise<void> => {
        if (current() === undefined) {
            await bootstrap();
            return;
        }
        await Promise.all(peers.sample(1).map(reconcileWith));
    };

    const nextDelayMs = (intervalMs: number): number =>
        current() === undefined ? BOOTSTRAP_INTERVAL_MS : intervalMs * (0.5 + random.nextFloat());

    const forwardToSample = async (document: ConfigurationDocument): Promise<number> => {
        const responses = await Promise.all(peers.sample(strategy.fanOut).map(peer => peers.announce(peer, document)));
        return responses.filter(response => response.ok).length;
    };

    return {
        forward: async document => {
            let confirmed = 0;
            for (let round = 0; round < MAXIMUM_FORWARD_ROUNDS && confirmed === 0; round++) {
                confirmed = await forwardToSample(document);
            }
            return confirmed;
        },
        run: async signal => {
            const intervalMs = strategy.antiEntropyIntervalMs;
            while (intervalMs !== undefined && !signal.aborted) {
                await clock.sleep(nextDelayMs(intervalMs), signal);
                if (!signal.aborted) {
                    await reconcileOnce();
                }
            }
        },
    };
};
