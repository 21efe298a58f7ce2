// The faulty replicas of one service send bytes that are not a response: heads with the status 000. The host that reads them ends by
// itself, and the requests that it had passed on to the sound replicas of another service lose their answers.
import { mkdtempSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
    createHost,
    createRecord,
    freePorts,
    nowMs,
    sendRequest,
    sleep,
    startDuties,
    startReplica,
    startStore,
    waitUntil,
} from "../lib/standins.mjs";

const TROUBLE = process.env.TROUBLE !== "0";

const HOSTS = 2;
const CLIENTS_PER_HOST_AND_SERVICE = 8;
const WORK_MS = 60;
const DEADLINE_MS = 4_000;

/** The dose: two replicas of four spoil each 34th answer, less than 0.03 of them, for five seconds. */
const SPOILT_EACH = 34;
const TROUBLE_MS = 5_000;

/** After this time the platform starts a process again that has ended. */
const RESTART_MS = 500;

const here = dirname(fileURLToPath(import.meta.url));
const directory = mkdtempSync(join(tmpdir(), "review-"));
const record = createRecord(here);
const zones = { "zone-a": "region-a" };
const stops = [];

const main = async () => {
    const store = await startStore();
    const duties = await startDuties();
    stops.push(store.stop, duties.stop);
    const runs = new Map();
    let isFaulty = false;
    let faultyAnswers = 0;
    let spoiltAnswers = 0;
    const spoil = ({ requestId, text }) => {
        if (!isFaulty || ++faultyAnswers % SPOILT_EACH !== 0) {
            return undefined;
        }
        spoiltAnswers++;
        record.write(`a faulty replica sends a head with status 000 in place of the answer to ${requestId}`);
        return `HTTP/1.1 000 \r\nAttempt-Id: ${requestId}\r\nReplica-Signature: i.${requestId}\r\n`
            + `Content-Length: ${text.length}\r\n\r\n${text}`;
    };
    const servicesOf = { "i-1": "orders", "i-2": "orders", "i-3": "reads", "i-4": "reads" };
    const replicas = await Promise.all(Object.entries(servicesOf).map(([id, service]) =>
        startReplica({
            id,
            service,
            workMs: WORK_MS,
            onRun: ({ requestId }) => {
                runs.set(requestId, { replica: id, hasEnded: false });
            },
            onEnd: ({ requestId }) => {
                runs.get(requestId).hasEnded = true;
            },
            ...(service === "reads" ? { spoil } : {}),
        })
    ));
    replicas.forEach(replica => stops.push(replica.stop));
    let sequence = 0;
    const beat = () =>
        replicas.forEach(({ id, service, port, slots, born }) =>
            store.put(`servers/${id}`, {
                Service: service,
                Address: `127.0.0.1:${port}`,
                Zone: "zone-a",
                Version: "v1",
                Slots: slots,
                State: "ready",
                ColdRemainingMs: 0,
                Sequence: ++sequence,
                born,
            })
        );
    beat();
    const beats = setInterval(beat, 1_200);
    stops.push(() => clearInterval(beats));
    store.put("op/config", {
        Version: 3,
        Routes: [["orders", "non_idempotent", 1], ["reads", "idempotent", 2]].map(([name, kind, attempts]) => ({
            Name: name,
            Host: "review.example",
            PathPrefix: `/${name}/`,
            RouteKind: kind,
            TimeoutMs: DEADLINE_MS,
            TargetLatencyMs: 500,
            Priority: 1,
            Service: name,
            MaxAttempts: attempts,
            AllowAnonymous: false,
        })),
        Services: ["orders", "reads"].map(Name => ({ Name, HealthPath: "/health", MaxConnections: 400 })),
        Tenants: [{ Name: "acme", ApiKeys: ["reviewkey"], RatePerS: 0, Burst: 0 }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_048_576, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
    });
    const controls = [];
    for (let index = 0; index < HOSTS; index++) {
        controls.push(await freePorts());
    }
    const hosts = [];
    let isOver = false;
    let ends = 0;
    for (const [index, controlPort] of controls.entries()) {
        const host = await createHost({
            name: `front-${index + 1}`,
            directory,
            zone: "zone-a",
            zones,
            controlPort,
            seeds: controls.map(port => `127.0.0.1:${port}`),
            storePort: await store.openView(),
            dutyPort: duties.port,
            onExit: ({ name, code, signal }) => {
                if (isOver) {
                    return;
                }
                ends++;
                record.write(`${name} has ended by itself: code ${code}, signal ${signal}`);
                setTimeout(() => isOver ? undefined : host.start(), RESTART_MS);
            },
        });
        host.start();
        stops.push(host.stop);
        hosts.push(host);
    }
    for (const host of hosts) {
        await waitUntil(host.isReady, 20_000, `${host.name} is ready`);
    }
    // Longer than ContactMs, so that all hosts are in touch.
    await sleep(4_500);

    const seen = [];
    let count = 0;
    let areClientsOver = false;
    /** A client keeps one channel for its requests, as long as the host does. */
    const client = async (host, route) => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        let answeredOnChannel = 0;
        while (!areClientsOver) {
            const answer = await sendRequest({
                port: host.frontPort,
                host: "review.example",
                path: `/${route}/1`,
                method: route === "orders" ? "POST" : "GET",
                requestId: `${route}-${++count}`,
                deadlineMs: DEADLINE_MS,
                key: "reviewkey",
                body: "order",
                agent,
            });
            seen.push({ ...answer, host: host.name, isKept: answeredOnChannel > 0 });
            answeredOnChannel = answer.isComplete ? answeredOnChannel + 1 : 0;
            if (answer.status !== 200) {
                await sleep(100);
            }
        }
        agent.destroy();
    };
    const clients = hosts.flatMap(host =>
        ["orders", "reads"].flatMap(route =>
            Array.from({ length: CLIENTS_PER_HOST_AND_SERVICE }, () => client(host, route))
        )
    );
    await sleep(2_000);
    isFaulty = TROUBLE;
    await sleep(TROUBLE_MS);
    isFaulty = false;
    await sleep(2_000);
    areClientsOver = true;
    await Promise.all(clients);
    isOver = true;

    const log = hosts.flatMap(host => host.log.join("").split("\n").filter(line => /^\w*Error/.test(line)).map(line => `${host.name} wrote: ${line}`));
    log.forEach(record.write);
    const isSound = ({ requestId }) => servicesOf[runs.get(requestId)?.replica] === "orders";
    const lost = seen.filter(answer => answer.isKept && answer.status === undefined && isSound(answer));
    seen.filter(({ isComplete, status }) => !isComplete || status !== 200).forEach(({ requestId, host, isKept, status, isComplete, error }) =>
        record.write(
            `${requestId} to ${host} on a ${isKept ? "kept" : "new"} channel: run by ${runs.get(requestId)?.replica ?? "no replica"}, `
                + `answer ${status ?? "none"}, ${isComplete ? "complete" : `not complete (${error})`}`,
        )
    );
    record.write(
        `${seen.length} requests sent, ${seen.filter(({ status, isComplete }) => status === 200 && isComplete).length} answered 200; `
            + `${lost.length} passed on from kept channels to sound replicas, and their channels closed without an answer; `
            + `${ends} times a process ended by itself`,
    );
    record.write(`the faulty replicas spoilt ${spoiltAnswers} of ${faultyAnswers} answers in the time of the trouble`);
    if (!seen.some(({ status }) => status === 200)) {
        return 2;
    }
    // LOST: more than three times.
    return lost.length > 3 ? 1 : 0;
};

let code = 2;
try {
    code = await main();
}
catch (error) {
    record.write(`could not run: ${error.stack}`);
}
for (const stop of stops.reverse()) {
    await stop();
}
record.save();
rmSync(directory, { recursive: true, force: true });
process.exit(code);
