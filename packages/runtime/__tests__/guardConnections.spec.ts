// Guards against connections that make a process hold what no request needs: bytes before a head, requests that wait one behind another,
// and connections that do nothing while others find no room.
import { once } from "node:events";
import { createServer, type RequestListener, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type ConnectionCloseCause, defaultConnectionLimits, guardConnections } from "../src";

const HEAD = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ";
const GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** What is read from a connection at a time. */
const READ_BYTES = 65_536;

const startServer = async (handle: RequestListener, limits = {}) => {
    const causes: ConnectionCloseCause[] = [];
    const server = createServer();
    const accepted: Socket[] = [];
    guardConnections(server, handle, { ...defaultConnectionLimits, ...limits }, cause => causes.push(cause));
    server.on("connection", socket => accepted.push(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const open = async (text: string): Promise<Socket> => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        await once(socket, "connect");
        socket.write(text);
        return socket;
    };
    return {
        causes,
        accepted,
        open,
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

const readUntil = async (socket: Socket, pattern: RegExp): Promise<string> => {
    let text = "";
    while (!pattern.test(text)) {
        const [chunk] = await once(socket, "data") as [Buffer];
        text += chunk.toString();
    }
    return text;
};

const waitForClose = (socket: Socket): Promise<void> =>
    new Promise(resolve => socket.resume().once("close", () => resolve()));

const answer: RequestListener = (_request, response) => void response.end("ok");

test("empty lines without end before a request close their connection", async () => {
    await using server = await startServer(answer);
    const socket = await server.open("\r\n".repeat(200_000));
    await waitForClose(socket);
    expect(server.causes).toEqual(["unused-bytes"]);
});

test.each([
    ["before a request", ""],
    ["after a request", GET],
])("of empty lines without end %s, little more is read than a connection may send in vain", async (_title, first) => {
    await using server = await startServer(answer);
    const sockets = await Promise.all(Array.from({ length: 20 }, () => server.open(first)));
    sockets.forEach(socket => socket.write("\r\n".repeat(4_000_000)));
    await Promise.all(sockets.map(waitForClose));
    const mostBytes = Math.max(...server.accepted.map(({ bytesRead }) => bytesRead));
    // Neither the rest of the read with the request counts, nor does the read that goes beyond the limit.
    expect(mostBytes).toBeLessThanOrEqual(defaultConnectionLimits.maximumUnusedBytes + 2 * READ_BYTES);
});

test("a request after some empty lines is answered, and so are those after it", async () => {
    await using server = await startServer(answer);
    const socket = await server.open("\r\n\r\n");
    socket.write(GET);
    await readUntil(socket, /ok/);
    socket.write(`\r\n${GET}`);
    await readUntil(socket, /ok/);
    socket.destroy();
});

test("a body that is refused before it is read is discarded, and its connection can be used again", async () => {
    await using server = await startServer((_request, response) => void response.writeHead(413).end());
    const socket = await server.open(`${HEAD}4000000\r\n\r\n${"x".repeat(4_000_000)}`);
    await readUntil(socket, /413/);
    socket.write(GET);
    await readUntil(socket, /413/);
    expect(server.causes).toEqual([]);
    socket.destroy();
});

test("of many bodies in chunks of a byte, those that have cost most are given up", async () => {
    await using server = await startServer(request => void request.resume());
    const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const sockets = await Promise.all(Array.from({ length: 8 }, () => server.open(head)));
    const chunks = Buffer.from("1\r\nx\r\n".repeat(10_000));
    sockets.forEach(socket => {
        const send = (): void => void (socket.destroyed || socket.write(chunks, send));
        send();
    });
    while (server.causes.length < 4) {
        await new Promise(setImmediate);
    }
    sockets.forEach(socket => socket.destroy());
    expect(new Set(server.causes)).toEqual(new Set(["costly-body"]));
});

test("a single body in chunks of a byte is read to its end, however much it costs", async () => {
    await using server = await startServer((request, response) =>
        void request.resume().on("end", () => response.end("ok"))
    );
    const socket = await server.open("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    socket.write(`${"1\r\nx\r\n".repeat(1_000_000)}0\r\n\r\n`);
    await readUntil(socket, /ok/);
    expect(server.causes).toEqual([]);
    socket.destroy();
});

test("a connection without a request makes room for a new one; one that waits for an answer does not", async () => {
    const waiting: ServerResponse[] = [];
    await using server = await startServer((request, response) => {
        waiting.push(response);
        request.resume();
    }, { maximumConnections: 2 });
    const first = await server.open(GET);
    while (waiting.length < 1) {
        await new Promise(setImmediate);
    }
    const silent = await server.open("");
    const second = await server.open(GET);
    await waitForClose(silent);
    while (waiting.length < 2) {
        await new Promise(setImmediate);
    }
    const refused = await server.open(GET);
    await waitForClose(refused);
    expect(server.causes).toEqual(["replaced", "too-many"]);
    waiting.forEach(response => response.end("ok"));
    await Promise.all([first, second].map(socket => readUntil(socket, /ok/)));
    [first, second].forEach(socket => socket.destroy());
});

test("requests that wait one behind another close their connection, and each of them ends", async () => {
    let open = 0;
    let handled = 0;
    await using server = await startServer((_request, response) => {
        open++;
        handled++;
        response.once("close", () => open--);
    }, { maximumPendingRequests: 4 });
    const socket = await server.open(GET.repeat(100));
    await waitForClose(socket);
    while (open > 0) {
        await new Promise(setImmediate);
    }
    expect(handled).toBe(4);
    expect(server.causes).toEqual(["pending-requests"]);
});
