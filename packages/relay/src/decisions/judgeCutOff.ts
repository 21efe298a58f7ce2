/**
 * Decides whether a host that reaches no upstream of a service is cut off from them; the addresses are those of the hosts'
 * listeners for each other, `unreaching` of hosts that reach none of these upstreams either.
 *
 * Handles upstreams that are all down: no host reaches one then, nobody is cut off, and nothing is relayed. A host that hears
 * of no peer is cut off from them too, unless it is the only one.
 */
export const judgeCutOff = (
    { ownAddress, registered, live, unreaching }: {
        readonly ownAddress: string;
        readonly registered: readonly string[];
        readonly live: readonly string[];
        readonly unreaching: ReadonlySet<string>;
    },
): boolean => {
    const livePeers = live.filter(address => address !== ownAddress);
    const isAlone = registered.every(address => address === ownAddress);
    return !isAlone && (livePeers.length === 0 || livePeers.some(address => !unreaching.has(address)));
};
