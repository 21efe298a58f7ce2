// Small stand-ins of the platform, the replicas and the clients for the scripts in review/6 to review/9.
// Everything listens on 127.0.0.1, on free ports, and ends with `world.end()`.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const now = () => performance.now();

const listen = (server, port = 0) =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server.address().port));
    });

const isFree = port =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });

let nextPort = 12_000 + Math.floor(Math.random() * 18_000);
/** Returns the first of so many consecutive free ports below the ephemeral range. */
export const freePorts = async count => {
    for (;;) {
        const first = nextPort;
        nextPort = nextPort + count > 31_000 ? 12_000 : nextPort + count;
        const free = await Promise.all(Array.from({ length: count }, (_, index) => isFree(first + index)));
        if (free.every(Boolean)) {
            return first;
        }
    }
};

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};

/** The platform's metadata store, as PROTOCOL.md describes it, without faults of its own. */
export const createStore = async () => {
    /** How the host that is connected to a listener sees an item: the addresses of its own links to the replicas. */
    const views = new Map();
    const items = new Map();
    const leases = new Map();
    const waiting = new Set();
    let events = [];
    let revision = 1;
    let lastLease = 0;

    const write = (sets, removed) => {
        revision++;
        for (const { Key, Value, LeaseId = 0 } of sets) {
            const item = { Key, Value, Revision: revision, Created: items.get(Key)?.Created ?? revision, LeaseId };
            items.set(Key, item);
            events.push(item);
        }
        for (const Key of removed) {
            if (items.delete(Key)) {
                events.push({ Key, Revision: revision, Removed: true });
            }
        }
        [...waiting].forEach(wake => wake());
        return revision;
    };
    const changes = (prefix, after) => events.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
    const endLease = id => {
        const lease = leases.get(id);
        if (lease !== undefined) {
            clearTimeout(lease.timer);
            leases.delete(id);
            write([], [...items.values()].filter(({ LeaseId }) => LeaseId === id).map(({ Key }) => Key));
        }
        return lease !== undefined;
    };
    const keepLease = id => {
        const lease = leases.get(id);
        if (lease !== undefined) {
            clearTimeout(lease.timer);
            lease.timer = setTimeout(() => endLease(id), lease.ttlMs);
        }
        return lease !== undefined;
    };

    const answer = (response, status, body) =>
        response.writeHead(status, { "Content-Type": "application/json" }).end(JSON.stringify(body));
    const serve = async (request, response) => {
        try {
            const view = views.get(request.socket.localPort) ?? (item => item);
            const body = await readBody(request);
            const url = new URL(request.url, "http://store");
            const [, path, id] = /^(\/-\/[a-z-]+)(?:\/(\d+))?$/.exec(url.pathname) ?? [];
            const query = name => url.searchParams.get(name) ?? "";
            switch (`${request.method} ${path}`) {
                case "GET /-/kv-key": {
                    const item = items.get(query("Key"));
                    answer(response, item === undefined ? 404 : 200, { ...item && view(item), At: revision });
                    return;
                }
                case "GET /-/kv-range": {
                    const found = [...items.values()]
                        .filter(({ Key }) => Key.startsWith(query("PathPrefix")) && Key > query("After"))
                        .sort((left, right) => left.Key < right.Key ? -1 : 1);
                    answer(response, 200, { Items: found.slice(0, 500).map(view), HasMore: found.length > 500, At: revision });
                    return;
                }
                case "GET /-/kv-watch": {
                    const [prefix, after] = [query("PathPrefix"), Number(query("After"))];
                    await new Promise(resolve => {
                        const end = () => {
                            clearTimeout(timer);
                            waiting.delete(wake);
                            resolve();
                        };
                        const wake = () => changes(prefix, after).length > 0 && end();
                        const timer = setTimeout(end, Number(query("WaitMs")));
                        waiting.add(wake);
                        response.once("close", end);
                        wake();
                    });
                    const found = changes(prefix, after).map(event => event.Removed ? event : view(event));
                    answer(response, 200, { events: found, At: revision });
                    return;
                }
                case "POST /-/kv-txn": {
                    const { ExpectedRevision = [], SetKeys = [], Remove = [] } = JSON.parse(body);
                    const holds = ExpectedRevision.every(({ Key, Revision }) =>
                        (items.get(Key)?.Revision ?? 0) === Revision
                    );
                    if (!holds) {
                        const Items = ExpectedRevision.flatMap(({ Key }) => items.has(Key) ? [items.get(Key)] : []);
                        answer(response, 412, { Items });
                        return;
                    }
                    answer(response, 200, { Revision: write(SetKeys, Remove) });
                    return;
                }
                case "POST /-/kv-lease": {
                    const { TtlMs } = JSON.parse(body);
                    const lease = ++lastLease;
                    leases.set(lease, { ttlMs: TtlMs, timer: setTimeout(() => endLease(lease), TtlMs) });
                    answer(response, 200, { LeaseId: lease, TtlMs });
                    return;
                }
                case "POST /-/kv-keep":
                    answer(response, keepLease(Number(id)) ? 200 : 404, {});
                    return;
                case "DELETE /-/kv-lease-end":
                    answer(response, endLease(Number(id)) ? 200 : 404, {});
                    return;
                default:
                    answer(response, 404, {});
            }
        }
        catch {
            response.destroy();
        }
    };
    const servers = [];
    const open = async view => {
        const server = http.createServer(serve);
        servers.push(server);
        const opened = await listen(server);
        if (view !== undefined) {
            views.set(opened, view);
        }
        return opened;
    };
    const port = await open();
    return {
        port,
        /** Opens a listener for one host, which sees items as `view` returns them. */
        openView: open,
        put: (key, value) => write([{ Key: key, Value: Buffer.from(JSON.stringify(value)).toString("base64") }], []),
        remove: key => write([], [key]),
        get: key => items.get(key),
        end: () => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            servers.forEach(server => {
                server.close();
                server.closeAllConnections();
            });
        },
    };
};

/** The platform's API for duties: checks fences, and records what it accepts. */
export const createDuties = async () => {
    const accepted = [];
    let highest = 0;
    const server = http.createServer(async (request, response) => {
        const body = await readBody(request).catch(() => "{}");
        const fence = Number(request.headers["fencing-token"]);
        if (fence < highest) {
            response.writeHead(409).end(JSON.stringify({ Error: "a higher fence was seen" }));
            return;
        }
        highest = fence;
        accepted.push({ path: request.url, holder: request.headers["duty-holder"], fence, body: JSON.parse(body) });
        response.writeHead(200, { "Content-Type": "application/json" }).end("{}");
    });
    const port = await listen(server);
    return {
        port,
        accepted,
        end: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

/** The part of a service in the config that names its engines, as in the examples of `fleetbench wire`. */
export const ENGINE = {
    Slots: 64, KvCapacityTokens: 232000, KvTokenBytes: 327680, LinkMbps: 1100000, Moves: true, Backups: true, Stride: 3, most: 12,
    PinMs: 4000, HoldMs: 2000, HandleS: 5, Models: [{ Name: "m" }],
};

/**
 * A replica behind its own listener. It registers, writes its status every 1.2 s, answers 421 for another id, queues a few requests
 * beyond its slots, and passes those that it begins to run to `run(request, response, body)`. `runs` has one entry for each.
 */
export const createReplica = async (store, { id, service, version, zone, slots = 64, queue = 24, run }) => {
    const runs = [];
    const waiting = [];
    const born = Date.now();
    let state = "ready";
    let sequence = 0;
    let running = 0;

    /** Waits for a slot; resolves with whether there is one before the caller leaves or its deadline passes. */
    const enter = (request, response) => {
        if (running < slots) {
            running++;
            return Promise.resolve(true);
        }
        if (waiting.length >= queue) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            const settle = hasSlot => {
                clearTimeout(timer);
                if (waiting.includes(entry)) {
                    waiting.splice(waiting.indexOf(entry), 1);
                }
                resolve(hasSlot);
            };
            const entry = { settle };
            const timer = setTimeout(() => settle(false), Number(request.headers["request-deadline"] ?? 10_000));
            response.once("close", () => settle(false));
            waiting.push(entry);
        });
    };
    /** Passes the slot on to the first request in the queue. */
    const leaveSlot = () => {
        const next = waiting[0];
        if (next === undefined) {
            running--;
            return;
        }
        next.settle(true);
    };

    const serve = async (request, response) => {
        const body = await readBody(request);
        if (state === "draining") {
            response.setHeader("Server-Leaving", "1");
            response.setHeader("Connection", "close");
        }
        if (request.url === "/health") {
            response.writeHead(state === "ready" ? 200 : 503, { "Replica-Id": id }).end();
            return;
        }
        if (request.url === "/-/report") {
            const report = {
                Stage: "colocated", Models: [{ Name: "m", Version: 1, Adapters: [] }], Busy: false, Sequence: 0,
                Waiting: waiting.length, Running: running, KvUsed: 0, KvTotal: 232000, Handles: 0,
            };
            response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
            return;
        }
        if (request.url.startsWith("/-/")) {
            // No run is moved in these cases: there is none of that name.
            response.writeHead(404, { "Content-Type": "application/json" }).end("{}");
            return;
        }
        const attemptId = request.headers["attempt-id"];
        const echo = attemptId === undefined ? {} : { "Attempt-Id": attemptId };
        if (request.headers["expect-replica"] !== undefined && request.headers["expect-replica"] !== id) {
            response.writeHead(421, { ...echo, "Not-Executed": "1", "Replica-Id": id }).end();
            return;
        }
        if (attemptId === undefined) {
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        if (!await enter(request, response)) {
            response.writeHead(503, { ...echo, "Not-Executed": "1" }).end();
            return;
        }
        try {
            runs.push({
                replica: id,
                version,
                attemptId,
                atMs: now(),
                lastEventId: request.headers["last-event-id"],
                url: request.url,
                tenant: request.headers["tenant"],
            });
            await run(request, response, body, { id, version, echo: { ...echo, "Replica-Signature": `${id}.1` } });
        }
        finally {
            leaveSlot();
        }
    };
    const server = http.createServer((request, response) => {
        serve(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 5_000;
    const port = await listen(server);
    const register = () =>
        store.put(`servers/${id}`, {
            Service: service,
            Address: `127.0.0.1:${port}`,
            Zone: zone,
            Version: version,
            Slots: slots,
            State: state,
            ColdRemainingMs: 0,
            Stage: "colocated",
            Models: [{ Name: "m", Version: 1, Adapters: [] }],
            Sequence: ++sequence,
            born,
        });
    register();
    const beat = setInterval(register, 1_200);
    return {
        id,
        version,
        port,
        runs,
        drain: () => {
            state = "draining";
            register();
        },
        leave: () => {
            clearInterval(beat);
            store.remove(`servers/${id}`);
        },
        end: () => {
            clearInterval(beat);
            server.close();
            server.closeAllConnections();
        },
    };
};

/** A proxy in front of a port, whose channels can be reset. */
export const createProxy = async target => {
    const pairs = new Set();
    const server = net.createServer({ noDelay: true }, client => {
        const upstream = net.connect({ host: "127.0.0.1", port: target, noDelay: true });
        const pair = { client, upstream };
        pairs.add(pair);
        const close = () => {
            pairs.delete(pair);
            client.destroy();
            upstream.destroy();
        };
        [client, upstream].forEach(socket => socket.on("error", close).on("close", close));
        client.pipe(upstream);
        upstream.pipe(client);
    });
    const port = await listen(server);
    return {
        port,
        /** Resets a share of the open channels, on both sides; returns how many. */
        reset: (share = 1) => {
            // Spread evenly over all of them.
            const open = [...pairs].filter((_, index) => Math.floor((index + 1) * share) > Math.floor(index * share));
            open.forEach(({ client, upstream }) => {
                client.resetAndDestroy();
                upstream.resetAndDestroy();
            });
            return open.length;
        },
        end: () => {
            server.close();
            pairs.forEach(({ client, upstream }) => {
                client.destroy();
                upstream.destroy();
            });
        },
    };
};

/** A link to a port that can be cut: `refused` resets its channels and refuses new ones, `silent` lets no byte through. */
export const createLink = async target => {
    const pairs = new Set();
    let mode = "pass";
    const forward = ({ client, upstream }) => {
        client.pipe(upstream);
        upstream.pipe(client);
    };
    const hold = ({ client, upstream }) => {
        client.unpipe(upstream);
        upstream.unpipe(client);
        client.pause();
        upstream.pause();
    };
    const server = net.createServer({ noDelay: true }, client => {
        const upstream = net.connect({ host: "127.0.0.1", port: target, noDelay: true });
        const pair = { client, upstream };
        pairs.add(pair);
        const close = () => {
            pairs.delete(pair);
            client.destroy();
            upstream.destroy();
        };
        [client, upstream].forEach(socket => socket.on("error", close).on("close", close));
        (mode === "pass" ? forward : hold)(pair);
    });
    const port = await listen(server);
    return {
        port,
        setMode: async next => {
            const previous = mode;
            mode = next;
            if (next === "refused") {
                server.close();
                pairs.forEach(({ client, upstream }) => {
                    client.resetAndDestroy();
                    upstream.resetAndDestroy();
                });
            }
            if (next === "silent") {
                pairs.forEach(hold);
            }
            if (next === "pass" && previous === "refused") {
                await listen(server, port);
            }
            if (next === "pass" && previous === "silent") {
                // What was held up is lost with its channel.
                pairs.forEach(({ client, upstream }) => {
                    client.resetAndDestroy();
                    upstream.resetAndDestroy();
                });
            }
        },
        end: () => {
            server.close();
            pairs.forEach(({ client, upstream }) => {
                client.destroy();
                upstream.destroy();
            });
        },
    };
};

/** Command of the deploy file, without a shell. */
const command = () => {
    const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const [, run] = /^run = "([^"]+)"$/m.exec(text) ?? [];
    if (run === undefined) {
        throw new Error("the deploy file has no command");
    }
    return run.split(" ");
};

export const createWorld = async folder => {
    const directory = mkdtempSync(join(tmpdir(), "ibis-review-"));
    const resources = [];
    const processes = [];
    const record = join(folder, "record.txt");
    writeFileSync(record, "");
    const startedAtMs = now();
    const write = line => {
        const text = `${((now() - startedAtMs) / 1_000).toFixed(3)} ${line}`;
        appendFileSync(record, `${text}\n`);
        if (process.env.VERBOSE === "1") {
            console.log(text);
        }
    };
    const use = resource => {
        resources.push(resource);
        return resource;
    };
    const kill = () => processes.forEach(({ child }) => child.exitCode === null && child.kill("SIGKILL"));
    process.on("exit", kill);
    ["SIGTERM", "SIGINT"].forEach(signal => process.on(signal, () => process.exit(2)));

    const store = use(await createStore());
    const duties = use(await createDuties());

    const prepareHosts = async (
        count,
        { zones = { "zone-a": "region-a" }, bounds = {}, ports = 16, storePortOf = () => store.port } = {},
    ) => {
        const plans = [];
        for (let index = 0; index < count; index++) {
            plans.push({ front: await freePorts(3), internal: await freePorts(ports) });
        }
        const seeds = plans.slice(0, 3).map(({ front }) => `127.0.0.1:${front + 2}`);
        return plans.map(({ front, internal }, index) => {
            const names = Object.keys(zones);
            const zone = names[index % names.length];
            const name = `front-${zone}-${index + 1}`;
            const settings = {
                Node: name,
                Role: "edge",
                MachineClass: "front",
                Serves: ["front", "control"],
                IpAddress: "127.0.0.1",
                Zone: zone,
                Region: zones[zone],
                Zones: zones,
                Listen: {
                    Front: `127.0.0.1:${front}`,
                    Readiness: `127.0.0.1:${front + 1}`,
                    Control: `127.0.0.1:${front + 2}`,
                },
                InternalPorts: [internal, internal + ports - 1],
                SeedAddrs: seeds,
                Bootstrap: true,
                InTolerance: false,
                Limits: { CpuShare: 0.675, CpuCores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
                DataDirectory: null,
                Discovery: "platform",
                Entry: "vip",
                HeartbeatMs: 1200,
                Contracts: [
                    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota",
                    "leader", "platform",
                ],
                FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
                Bounds: {
                    SeedLagS: 3, ReuseAfterS: 2, ContactMs: 4000, AckMs: 5000, CatchUpS: 4, DrainMs: 2500, GraceS: 8,
                    LossSlackMs: 200, ConfigApplyMs: 2500, RollbackSlackMs: 250, MaxStretchMs: 6000,
                    StrictRevocation: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 56,
                    QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 110000, EnforceFencing: true, LeaseMs: 3000,
                    ThawSlackMs: 300, UsageWindowS: 5, UsageTolerance: 0.05, UsageLateS: 10, RecoveryS: 12,
                    PassMs: 300, ReuseWindowS: 6.5,
                    ...bounds,
                },
                Provider: {
                    Address: `127.0.0.1:${storePortOf(index)}`, form: "kv", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20,
                    ValueBytes: 1048576, TtlMinMs: 1000,
                },
                Cloud: { Address: `127.0.0.1:${duties.port}`, RatePerS: 50, Duties: ["metering"], DutyPerS: 50 },
            };
            const file = join(directory, `${name}.json`);
            writeFileSync(file, JSON.stringify(settings));
            const logFile = join(directory, `${name}.log`);
            const host = {
                name,
                port: front,
                readinessPort: front + 1,
                file,
                logFile,
                settings,
                child: undefined,
                start: () => {
                    const [program, ...args] = command();
                    const log = openSync(logFile, "a");
                    const child = spawn(program === "node" ? process.execPath : program, args, {
                        cwd: root,
                        stdio: ["ignore", log, log],
                        env: { PATH: process.env.PATH, HOME: directory, LANG: "C", IBISLANDING_BOOT: file },
                    });
                    host.child = child;
                    host.ended = new Promise(resolve =>
                        child.once("exit", (code, signal) => {
                            write(`${name}: ended, code ${code}, signal ${signal}`);
                            resolve({ code, signal });
                        })
                    );
                    processes.push({ child });
                    write(`${name}: started`);
                },
                isReady: () =>
                    new Promise(resolve => {
                        const request = http.get(
                            { host: "127.0.0.1", port: host.readinessPort, path: "/-/readiness", agent: false, timeout: 500 },
                            response => {
                                response.resume();
                                resolve(response.statusCode === 200);
                            },
                        );
                        request.on("error", () => resolve(false));
                        request.on("timeout", () => request.destroy());
                    }),
            };
            return host;
        });
    };

    const waitUntilReady = async (hosts, limitMs = 20_000) => {
        const untilMs = now() + limitMs;
        for (const host of hosts) {
            while (!await host.isReady()) {
                if (now() > untilMs) {
                    throw new Error(`${host.name} is not ready`);
                }
                await sleep(100);
            }
        }
        write("all hosts are ready");
    };

    const end = async () => {
        kill();
        await Promise.all(processes.map(({ child }) =>
            child.exitCode !== null || child.signalCode !== null
                ? undefined
                : new Promise(resolve => child.once("exit", resolve))
        ));
        resources.forEach(resource => resource.end());
        rmSync(directory, { recursive: true, force: true });
    };

    return { directory, store, duties, use, write, prepareHosts, waitUntilReady, end };
};

/** Sends one request as a client, on a new channel unless an agent is given; resolves at the end of the answer or the channel. */
export const send = ({ port, method = "POST", path, headers, body = "", agent = false, timeoutMs = 20_000, onData }) =>
    new Promise(resolve => {
        const result = { status: undefined, headers: {}, body: "", isComplete: false, error: undefined, endedAtMs: 0 };
        const request = http.request({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent,
            headers: { ...headers, ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }) },
        });
        result.close = () => request.destroy();
        const timer = setTimeout(() => request.destroy(new Error("client timeout")), timeoutMs);
        request.on("error", error => {
            result.error = error.code ?? error.message;
        });
        request.on("close", () => {
            clearTimeout(timer);
            result.endedAtMs = now();
            resolve(result);
        });
        request.on("response", response => {
            result.status = response.statusCode;
            result.headers = response.headers;
            response.setEncoding("utf8");
            response.on("data", text => {
                result.body += text;
                onData?.(result);
            });
            response.on("error", () => undefined);
            response.on("end", () => {
                result.isComplete = response.complete;
            });
        });
        request.end(body);
    });

/** Ends the script with its exit code, whatever is still open. */
export const conclude = async (world, act) => {
    let code = 2;
    const limit = setTimeout(() => {
        world.write("the script took too long");
        process.exit(2);
    }, 115_000);
    try {
        code = await act();
    }
    catch (error) {
        world.write(`the case couldn't run: ${error.stack}`);
    }
    clearTimeout(limit);
    await world.end();
    console.log(code === 0 ? "the rule held" : code === 1 ? "the rule was broken" : "the case couldn't run");
    process.exit(code);
};
