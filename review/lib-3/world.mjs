// Stand-ins for the platform of the users' pages, and the start of the project's own hosts. Node.js built-ins only.
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, createServer, get, request as sendRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const LOOPBACK = "127.0.0.1";

/** Bounds of the small deployments, as in DEPLOY.md. */
export const BOUNDS = {
    SeedLagS: 3, ReuseAfterS: 2, ContactMs: 4000, AckMs: 5000, CatchUpS: 4, DrainMs: 2500, GraceS: 8, LossSlackMs: 200,
    ConfigApplyMs: 2500, RollbackSlackMs: 250, MaxStretchMs: 6000, StrictRevocation: false, RevokeMs: 5000,
    RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 56, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 110000,
    EnforceFencing: true, LeaseMs: 3000, ThawSlackMs: 300, UsageWindowS: 5, UsageTolerance: 0.05, UsageLateS: 10,
    RecoveryS: 12, PassMs: 300, ReuseWindowS: 6.5,
};

/** Writes lines with the time since the start to `record.txt` in the folder of the case. */
export const openRecord = folder => {
    const path = join(folder, "record.txt");
    const startedAt = performance.now();
    writeFileSync(path, "");
    return text => {
        const line = `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`;
        appendFileSync(path, line);
    };
};

const readBody = async request => {
    const parts = [];
    for await (const part of request) {
        parts.push(part);
    }
    return Buffer.concat(parts);
};

/** Listens on a free loopback port; `onRequest(request, response)` may be asynchronous. */
const serve = onRequest =>
    new Promise(resolve => {
        const server = createServer((request, response) => {
            response.on("error", () => undefined);
            Promise.resolve(onRequest(request, response)).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 20_000;
        server.listen(0, LOOPBACK, () =>
            resolve({
                port: server.address().port,
                server,
                close: () => {
                    server.close();
                    server.closeAllConnections();
                },
            }));
    });

/** Finds `count` successive free ports. */
export const freePorts = async count => {
    const tryBind = port =>
        new Promise(resolve => {
            const probe = createTcpServer();
            probe.once("error", () => resolve(undefined));
            probe.listen(port, LOOPBACK, () => {
                const bound = probe.address().port;
                probe.close(() => resolve(bound));
            });
        });
    for (;;) {
        const first = 20_000 + Math.floor(Math.random() * 12_000);
        const bound = await Promise.all(Array.from({ length: count }, (_, index) => tryBind(first + index)));
        if (bound.every(port => port !== undefined)) {
            return first;
        }
    }
};

/** The platform's metadata store: items, revisions, history, watches, transactions and leases. */
export const startStore = async () => {
    const items = new Map();
    const leases = new Map();
    const watches = new Set();
    let events = [];
    let revision = 1;
    let nextLease = 1;

    const wake = () => [...watches].forEach(watch => watch());
    const write = (sets, removed) => {
        revision++;
        sets.forEach(({ Key, Value, LeaseId = 0 }) => {
            const item = { Key, Value, Revision: revision, Created: items.get(Key)?.Created ?? revision, LeaseId };
            items.set(Key, item);
            events.push(item);
        });
        removed.filter(key => items.delete(key)).forEach(Key => events.push({ Key, Revision: revision, Removed: true }));
        wake();
        return revision;
    };
    const endLease = id => {
        const lease = leases.get(id);
        clearTimeout(lease?.timer);
        leases.delete(id);
        const keys = [...items.values()].filter(({ LeaseId }) => LeaseId === id).map(({ Key }) => Key);
        if (keys.length > 0) {
            write([], keys);
        }
        return lease !== undefined;
    };
    const startLease = (id, ttlMs) => leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
    const since = (prefix, after) => events.filter(event => event.Revision > after && event.Key.startsWith(prefix));

    const listener = await serve(async (request, response) => {
        const url = new URL(request.url, `http://${LOOPBACK}`);
        const text = (await readBody(request)).toString();
        const query = name => url.searchParams.get(name) ?? "";
        const answer = (status, body) => {
            response.writeHead(status, { "Content-Type": "application/json", "Store-Era": "1" });
            response.end(JSON.stringify(body));
        };
        const [, path, id] = /^(\/-\/[a-z-]+)(?:\/(\d+))?$/.exec(url.pathname) ?? [];
        switch (`${request.method} ${path}`) {
            case "GET /-/kv-key": {
                const item = items.get(query("Key"));
                return answer(item === undefined ? 404 : 200, { ...item, At: revision });
            }
            case "GET /-/kv-range": {
                const found = [...items.values()]
                    .filter(({ Key }) => Key.startsWith(query("PathPrefix")) && Key > query("After"))
                    .sort((one, other) => one.Key < other.Key ? -1 : 1);
                return answer(200, { Items: found.slice(0, 500), HasMore: found.length > 500, At: revision });
            }
            case "GET /-/kv-watch": {
                const after = Number(query("After"));
                const isDue = () => since(query("PathPrefix"), after).length > 0 || after > revision;
                if (!isDue()) {
                    await new Promise(resolve => {
                        const finish = () => {
                            clearTimeout(timer);
                            watches.delete(check);
                            resolve();
                        };
                        const check = () => isDue() && finish();
                        const timer = setTimeout(finish, Number(query("WaitMs")));
                        watches.add(check);
                    });
                }
                return after > revision
                    ? answer(410, {})
                    : answer(200, { events: since(query("PathPrefix"), after), At: revision });
            }
            case "POST /-/kv-txn": {
                const { ExpectedRevision = [], SetKeys = [], Remove = [] } = JSON.parse(text);
                if (SetKeys.some(({ LeaseId = 0 }) => LeaseId !== 0 && !leases.has(LeaseId))) {
                    return answer(404, {});
                }
                if (!ExpectedRevision.every(({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision)) {
                    return answer(412, { Items: ExpectedRevision.flatMap(({ Key }) => items.get(Key) ?? []) });
                }
                return answer(200, { Revision: write(SetKeys, Remove) });
            }
            case "POST /-/kv-lease": {
                const { TtlMs } = JSON.parse(text);
                const lease = nextLease++;
                startLease(lease, TtlMs);
                return answer(200, { LeaseId: lease, TtlMs });
            }
            case "POST /-/kv-keep": {
                const lease = leases.get(Number(id));
                if (lease === undefined) {
                    return answer(404, {});
                }
                clearTimeout(lease.timer);
                startLease(Number(id), lease.ttlMs);
                return answer(200, { TtlMs: lease.ttlMs });
            }
            case "DELETE /-/kv-lease-end":
                return answer(endLease(Number(id)) ? 200 : 404, {});
            default:
                return answer(404, {});
        }
    });

    return {
        port: listener.port,
        put: (key, value) =>
            write([{ Key: key, Value: Buffer.from(JSON.stringify(value)).toString("base64") }], []),
        remove: key => write([], [key]),
        close: () => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            listener.close();
        },
    };
};

/** The platform's API for duties, which accepts the calls of one holder at a time. */
export const startCloud = async () => {
    const calls = [];
    const highest = new Map();
    const listener = await serve(async (request, response) => {
        const body = JSON.parse((await readBody(request)).toString());
        const fence = Number(request.headers["fencing-token"]);
        const subject = request.url === "/usage" ? "usage" : `scale ${body.Service} ${body.Zone}`;
        const isAccepted = fence >= (highest.get(subject) ?? -Infinity);
        if (isAccepted) {
            highest.set(subject, fence);
        }
        calls.push({ subject, body, fence, holder: request.headers["duty-holder"], isAccepted });
        response.writeHead(isAccepted ? 200 : 409, { "Content-Type": "application/json" });
        response.end(isAccepted ? "{}" : JSON.stringify({ Error: "a higher fence was seen" }));
    });
    return { port: listener.port, calls, close: listener.close };
};

/**
 * A replica of a service. `onRun(run, request, response, body)` answers a request that it takes, of which it runs `slots` at once and
 * queues some more. Its entry in the store is written when more than its sequence changes.
 */
export const startReplica = async ({ store, service, version, zone = "zone-a", slots = 64, queue = 134, channels = 370, onRun }) => {
    const id = `i-${randomBytes(5).toString("hex")}`;
    const born = Date.now();
    const waiting = [];
    let state = "ready";
    let running = 0;
    const leaveSlot = () => {
        running--;
        waiting.shift()?.();
    };
    const takeSlot = async () => {
        if (running >= slots) {
            await new Promise(resolve => waiting.push(resolve));
        }
        running++;
    };
    const listener = await serve(async (request, response) => {
        if (state === "draining") {
            response.setHeader("Server-Leaving", "1");
            response.setHeader("Connection", "close");
        }
        if (request.url === "/health" && request.method === "GET") {
            response.writeHead(state === "ready" ? 200 : 503, { "Replica-Id": id }).end();
            return;
        }
        const body = await readBody(request);
        const requestId = request.headers["attempt-id"];
        if (request.headers["expect-replica"] !== undefined && request.headers["expect-replica"] !== id) {
            response.writeHead(421, { "Replica-Id": id }).end();
            return;
        }
        if (requestId === undefined) {
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        response.setHeader("Attempt-Id", requestId);
        if (waiting.length >= queue) {
            response.writeHead(503, { "Not-Executed": "1" }).end();
            return;
        }
        await takeSlot();
        try {
            if (!response.destroyed) {
                await onRun({ id, service, version, requestId }, request, response, body);
            }
        }
        finally {
            leaveSlot();
        }
    });
    listener.server.maxConnections = channels;
    const register = () =>
        store.put(`servers/${id}`, {
            Service: service, Address: `${LOOPBACK}:${listener.port}`, Zone: zone, Version: version, Slots: slots,
            State: state, ColdRemainingMs: 0, Stage: "colocated", Models: [{ Name: "m", Version: 1, Adapters: [] }],
            Sequence: 0, born,
        });
    register();
    return {
        id,
        isLeaving: () => state === "draining",
        /** Leaves as planned: reports `draining`, serves on for `DrainMs` and a little longer, and exits. */
        leave: async () => {
            state = "draining";
            register();
            await sleep(BOUNDS.DrainMs + 1_500);
            store.remove(`servers/${id}`);
            listener.close();
        },
        close: listener.close,
    };
};

/** The command of the role in the deploy file, split at spaces. */
const deployCommand = () => {
    const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
    return /^run = "([^"]+)"$/m.exec(text)[1].split(" ");
};

/** Prepares the hosts of a deployment; each is started and ended by the functions of its object. */
export const createHosts = async (
    { names, store, cloud, record, zones = ["zone-a"], duties = ["metering"] },
) => {
    const directory = mkdtempSync(join(tmpdir(), "review-3-"));
    const children = new Set();
    const places = [];
    for (const name of names) {
        const first = await freePorts(6);
        places.push({ name, front: first, readiness: first + 1, control: first + 2, internal: first + 3 });
    }
    const seeds = places.slice(0, 3).map(({ control }) => `${LOOPBACK}:${control}`);
    const hosts = places.map(({ name, front, readiness, control, internal }, index) => {
        const settings = join(directory, `${name}.json`);
        const logFile = join(directory, `${name}.log`);
        const zone = zones[index % zones.length];
        writeFileSync(settings, JSON.stringify({
            Node: name, Role: "edge", MachineClass: "front", Serves: ["front", "control"], IpAddress: LOOPBACK,
            Zone: zone, Region: "region-a", Zones: Object.fromEntries(zones.map(each => [each, "region-a"])),
            Listen: {
                Front: `${LOOPBACK}:${front}`, Readiness: `${LOOPBACK}:${readiness}`, Control: `${LOOPBACK}:${control}`,
            },
            InternalPorts: [internal, internal + 2], SeedAddrs: seeds, Bootstrap: true, InTolerance: false,
            Limits: { CpuShare: 0.675, CpuCores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
            DataDirectory: null, Discovery: "platform", Entry: "vip", HeartbeatMs: 1200,
            Contracts: [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader",
                "platform",
            ],
            FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 }, Bounds: BOUNDS,
            Provider: {
                Address: `${LOOPBACK}:${store.port}`, form: "kv", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20,
                ValueBytes: 1048576, TtlMinMs: 1000,
            },
            Cloud: { Address: `${LOOPBACK}:${cloud.port}`, RatePerS: 50, Duties: duties, DutyPerS: 50 },
        }));
        let child;
        const start = () => {
            const [program, ...args] = deployCommand();
            const output = openSync(logFile, "a");
            child = spawn(program, args, {
                cwd: ROOT,
                env: {
                    PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C",
                    IBISLANDING_BOOT: settings,
                },
                stdio: ["ignore", output, output],
            });
            const started = child;
            children.add(started);
            started.ended = new Promise(resolve => started.once("exit", (code, signal) => {
                children.delete(started);
                record(`host ${name} ended (${signal ?? code})`);
                resolve();
            }));
            record(`host ${name} started`);
        };
        const isReady = () =>
            new Promise(resolve => {
                const asked = get({ host: LOOPBACK, port: readiness, path: "/-/readiness", agent: false }, response => {
                    response.resume();
                    resolve(response.statusCode === 200);
                });
                asked.setTimeout(500, () => asked.destroy());
                asked.on("error", () => resolve(false));
            });
        return {
            name,
            front,
            start,
            isReady,
            log: () => readFileSync(logFile, "utf8"),
            signal: signal => {
                record(`host ${name} gets ${signal}`);
                child.kill(signal);
            },
            ended: () => child.ended,
        };
    });
    return {
        hosts,
        directory,
        waitUntilReady: async (chosen = hosts, timeoutMs = 20_000) => {
            const untilMs = performance.now() + timeoutMs;
            for (;;) {
                const ready = await Promise.all(chosen.map(host => host.isReady()));
                if (ready.every(Boolean)) {
                    return true;
                }
                if (performance.now() > untilMs) {
                    return false;
                }
                await sleep(100);
            }
        },
        end: async () => {
            const ended = [...children].map(child => {
                child.kill("SIGKILL");
                return child.ended;
            });
            await Promise.all(ended);
            rmSync(directory, { recursive: true, force: true });
        },
    };
};

export const newAttemptId = () => randomBytes(8).toString("hex");

/**
 * Sends one client attempt on a new channel. Resolves with status, headers, body and whether the answer ended completely;
 * `onText` is called with the whole body so far.
 */
export const sendAttempt = ({ port, method = "POST", path, headers, body = "", timeoutMs = 20_000, onText, agent }) =>
    new Promise(resolve => {
        const result = { status: undefined, headers: {}, body: "", isComplete: false, error: undefined, isKept: false };
        const outgoing = sendRequest({
            host: LOOPBACK, port, method, path, agent: agent ?? new Agent({ keepAlive: false }),
            headers: { ...headers, ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }) },
        });
        const timer = setTimeout(() => outgoing.destroy(new Error("client timeout")), timeoutMs);
        outgoing.on("error", error => {
            result.error = error.code ?? error.message;
        });
        outgoing.on("close", () => {
            clearTimeout(timer);
            result.isKept = outgoing.reusedSocket;
            resolve(result);
        });
        outgoing.on("response", response => {
            result.status = response.statusCode;
            result.headers = response.headers;
            response.setEncoding("utf8");
            response.on("error", () => undefined);
            response.on("data", text => {
                result.body += text;
                onText?.(result.body);
            });
            response.on("end", () => {
                result.isComplete = response.complete;
            });
        });
        outgoing.end(body);
    });
