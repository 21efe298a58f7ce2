import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import {
    ConfigurationServiceService,
    createPeerClients,
    createPeerServer,
    createUnaryHandler,
    type PeerAddress,
} from "@ibislanding/protocol";
import { Err, Ok, type Result } from "ts-results";

type Answer = Result<{ revision: number; document: string; }, Failure>;

const startServer = async (fetch: () => Answer | Promise<Answer>) =>
    (await createPeerServer({
        address: "127.0.0.1:0",
        services: [{
            definition: ConfigurationServiceService,
            implementation: {
                fetch: createUnaryHandler(fetch),
                announce: createUnaryHandler(() => Ok({ revision: 1 })),
            },
        }],
        shutdownTimeoutMs: 100,
    })).unwrap();

describe("createPeerClients", () => {
    it("calls a peer and keeps its channel open", async () => {
        await using server = await startServer(() => Ok({ revision: 7, document: "{}" }));
        await using clients = createPeerClients();
        const { fetch } = ConfigurationServiceService;
        const answer = await clients.call(server.address, fetch, { knownRevision: 3 }, 5_000);
        expect(answer.unwrap()).toEqual({ revision: 7, document: "{}" });
        expect(clients.channelCount()).toBe(1);
    });

    it("reports rejected calls and unreachable peers as typed failures", async () => {
        await using server = await startServer(() => Err(createFailure(ErrorCode.NotReady)));
        await using clients = createPeerClients();
        const { fetch } = ConfigurationServiceService;
        const refused = (await clients.call(server.address, fetch, {}, 5_000)).val as Failure;
        expect(refused).toMatchObject({ code: ErrorCode.PeerUnavailable, details: { reason: ErrorCode.NotReady } });
        const unreachable = await clients.call("127.0.0.1:1" as PeerAddress, fetch, {}, 5_000);
        expect(unreachable.val).toMatchObject({ code: ErrorCode.PeerUnavailable });
    });

    it("closes the channel of a call that timed out, and the least recently used one above the maximum", async () => {
        await using silent = await startServer(() => new Promise<Answer>(() => undefined));
        await using clients = createPeerClients({ maximumChannels: 1 });
        const { announce, fetch } = ConfigurationServiceService;
        const timedOut = await clients.call(silent.address, fetch, {}, 50);
        expect(timedOut.val).toMatchObject({ details: { status: "DEADLINE_EXCEEDED" } });
        expect(clients.channelCount()).toBe(0);
        await using other = await startServer(() => Ok({ revision: 1, document: "" }));
        await clients.call(silent.address, announce, { revision: 1, document: "" }, 5_000);
        await clients.call(other.address, fetch, {}, 5_000);
        expect(clients.channelCount()).toBe(1);
    });
});
