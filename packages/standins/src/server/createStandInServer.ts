import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { FaultSettings } from "./faultSettings";
import type { Route } from "./route";
import type { StandInServer } from "./standInServer";

const noFaults: FaultSettings = { mode: "none", delayMs: 0, loseAnswers: 0, pathPrefix: "/" };

const readText = async (request: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};

/** Discards all output of a socket, like a middlebox that has dropped the connection's state. */
const discardOutput = (socket: Socket): void => {
    socket.pause();
    socket.write = () => true;
    socket.end = () => socket;
};

/**
 * Starts an HTTP server on loopback with the given routes and two control routes: `POST /faults` sets the faults to
 * inject, `POST /silence` stops reading from and writing to all other open connections, without closing them.
 */
export const createStandInServer = async (port: number, routes: readonly Route[]): Promise<StandInServer> => {
    const sockets = new Set<Socket>();
    let faults = noFaults;

    const handleControl = (path: string, body: string, response: ServerResponse): boolean => {
        if (path === "/faults") {
            faults = { ...noFaults, ...JSON.parse(body || "{}") as Partial<FaultSettings> };
            response.end("{}");
            return true;
        }
        if (path === "/silence") {
            [...sockets].filter(socket => socket !== response.socket).forEach(discardOutput);
            response.end("{}");
            return true;
        }
        return false;
    };

    const faultHandlers: Readonly<Record<FaultSettings["mode"], (response: ServerResponse) => Promise<boolean>>> = {
        none: async () => true,
        refuse: async response => {
            response.writeHead(503).end();
            return false;
        },
        freeze: async () => false,
        drop: async response => {
            response.socket?.destroy();
            return false;
        },
        delay: async () => {
            await sleep(faults.delayMs);
            return true;
        },
    };

    const dropAnswer = (request: IncomingMessage, response: ServerResponse): void => {
        if (request.method === "GET" || faults.loseAnswers === 0) {
            return;
        }
        faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
        response.end = () => {
            request.socket.destroy();
            return response;
        };
        response.write = () => true;
    };

    const dispatch = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        const url = new URL(request.url ?? "/", "http://localhost");
        const body = await readText(request);
        if (request.method === "POST" && handleControl(url.pathname, body, response)) {
            return;
        }
        if (url.pathname.startsWith(faults.pathPrefix)) {
            if (!await faultHandlers[faults.mode](response)) {
                return;
            }
            dropAnswer(request, response);
        }
        const route = routes.find(({ method, pattern }) =>
            (method === "*" || method === request.method) && pattern.test(url.pathname)
        );
        if (route === undefined) {
            response.writeHead(404).end();
            return;
        }
        const groups = (route.pattern.exec(url.pathname) ?? []).slice(1).map(decodeURIComponent);
        await route.handle({ request, response, url, groups, body });
    };

    const server = createServer((request, response) => {
        dispatch(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    const actualPort = (server.address() as AddressInfo).port;
    return {
        url: `http://127.0.0.1:${actualPort}`,
        port: actualPort,
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
