import type { PeerAddress } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { PeerConfiguration } from "../peers/peerConfiguration";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import { defaultFollowerStrategy } from "./defaultFollowerStrategy";
import type { PeerExchange } from "./peerExchange";

const BOOTSTRAP_INTERVAL_MS = 300;

/** Number of groups of peers that a document is offered to until one peer confirms it. */
const FORWARD_ROUNDS = 3;

/** Creates the exchange; `onDocument` gets the documents that peers answer with. */
export const createPeerExchange = (
    options: ConfigurationFollowerOptions,
    current: () => ConfigurationDocument | undefined,
    onDocument: (document: ConfigurationDocument) => void,
): PeerExchange => {
    const { peers, clock, random, strategy = defaultFollowerStrategy } = options;

    const takeAnswer = async (peer: PeerAddress, answer: PeerConfiguration): Promise<void> => {
        const own = current();
        if (answer.document !== undefined) {
            onDocument(answer.document);
        }
        else if (own !== undefined && answer.revision !== undefined && answer.revision < own.revision) {
            await peers.announce(peer, own);
        }
    };

    const compareWith = async (peer: PeerAddress): Promise<void> => {
        const answer = await peers.fetch(peer, current()?.revision);
        if (answer.ok) {
            await takeAnswer(peer, answer.val);
        }
    };

    /** Takes the newest document of several peers, as a single one may lag. */
    const bootstrap = async (): Promise<void> => {
        const answers = await Promise.all(
            peers.sample(strategy.bootstrapPeers).map(peer => peers.fetch(peer, undefined)),
        );
        const newest = answers
            .flatMap(answer => (answer.ok && answer.val.document !== undefined ? [answer.val.document] : []))
            .sort((left, right) => right.revision - left.revision)[0];
        if (newest !== undefined) {
            onDocument(newest);
        }
    };

    const compareOnce = async (): Promise<void> => {
        if (current() === undefined) {
            await bootstrap();
            return;
        }
        await Promise.all(peers.sample(1).map(compareWith));
    };

    const nextDelayMs = (intervalMs: number): number =>
        current() === undefined ? BOOTSTRAP_INTERVAL_MS : intervalMs * (0.5 + random.nextFloat());

    const forwardOnce = async (document: ConfigurationDocument): Promise<number> => {
        const answers = await Promise.all(peers.sample(strategy.fanOut).map(peer => peers.announce(peer, document)));
        return answers.filter(answer => answer.ok).length;
    };

    return {
        forward: async document => {
            let confirmed = 0;
            for (let round = 0; round < FORWARD_ROUNDS && confirmed === 0; round++) {
                confirmed = await forwardOnce(document);
            }
            return confirmed;
        },
        run: async signal => {
            const intervalMs = strategy.antiEntropyIntervalMs;
            while (intervalMs !== undefined && !signal.aborted) {
                await clock.sleep(nextDelayMs(intervalMs), signal);
                if (!signal.aborted) {
                    await compareOnce();
                }
            }
        },
    };
};
