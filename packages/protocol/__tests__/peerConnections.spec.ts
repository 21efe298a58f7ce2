import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import {
    ConfigurationServiceService,
    createPeerClients,
    createPeerServer,
    createUnaryHandler,
    type PeerAddress,
} from "@ibislanding/protocol";
import { once } from "node:events";
import { connect as connectHttp2 } from "node:http2";
import { connect } from "node:net";
import { Err, Ok, type Result } from "ts-results";

type Answer = Result<{ revision: number; document: string; }, Failure>;

const startServer = async (
    fetch: () => Answer | Promise<Answer>,
    limits: { readonly maximumConnections?: number; readonly maximumMessageMemoryBytes?: number; } = {},
) => (await createPeerServer({
    ...limits,
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

// Guards against listeners whose connections are all taken, or whose memory is, by clients that never complete a call.
describe("createPeerServer", () => {
    const PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);
    const { fetch } = ConfigurationServiceService;

    it("closes connections without a call for a peer that finds no room", async () => {
        await using server = await startServer(() => Ok({ revision: 7, document: "{}" }), { maximumConnections: 4 });
        const port = Number(server.address.split(":")[1]);
        const sockets = Array.from({ length: 4 }, () => connect(port, "127.0.0.1"));
        await Promise.all(sockets.map(async socket => {
            socket.on("error", () => undefined);
            socket.write(Buffer.concat([Buffer.from(PREFACE), SETTINGS]));
            await once(socket, "data");
        }));
        await using clients = createPeerClients();
        expect((await clients.call(server.address, fetch, {}, 5_000)).ok).toBe(true);
        sockets.forEach(socket => socket.destroy());
    });

    it("closes connections with unfinished messages that hold too much, and answers other peers", async () => {
        const limits = { maximumMessageMemoryBytes: 1_000_000 };
        await using server = await startServer(() => Ok({ revision: 7, document: "{}" }), limits);
        const session = connectHttp2(`http://${server.address}`);
        session.on("error", () => undefined);
        const call = session.request({ ":method": "POST", ":path": fetch.path, "content-type": "application/grpc" });
        call.on("error", () => undefined);
        const message = Buffer.alloc(2_000_000);
        message.writeUInt32BE(3_000_000, 1);
        call.write(message);
        await once(session, "close");
        await using clients = createPeerClients();
        expect((await clients.call(server.address, fetch, {}, 5_000)).ok).toBe(true);
    });
});
