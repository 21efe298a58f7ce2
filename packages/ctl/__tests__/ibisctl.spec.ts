import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runIbisctl } from "./runIbisctl";

const MANIFEST = `[[resources]]
kind = "Service"
name = "payments"
team = "billing"
[resources.spec]
type = "plain"
`;

const writeManifest = (text = MANIFEST): string => {
    const path = join(mkdtempSync(join(tmpdir(), "ibisctl-")), "service.toml");
    writeFileSync(path, text);
    return path;
};

const operation = (operationId: string, status = "Unknown") => ({
    operationId,
    revision: 7,
    changedBy: "root",
    dryRun: false,
    resources: [{ action: "created", kind: "Service", name: "payments", generation: 1 }],
    inForce: { status, reason: "WaitingFor e1", membersInForce: 2, membersExpected: 3 },
});

type ResponseHandler = (request: IncomingMessage, response: ServerResponse) => void;

const json = (body: unknown, status = 200): ResponseHandler => (_request, response) => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
};

const problem = (code: string, status: number, details = {}): ResponseHandler =>
    json({ code, detail: "why", details }, status);

const dropConnection: ResponseHandler = request => request.socket.destroy();

/** Starts a server that sends the given responses in order, and repeats the last one. */
const startServer = async (answers: readonly ResponseHandler[]) => {
    const seen: string[] = [];
    const server = createServer((request, response) => {
        request.resume();
        request.on("end", () => {
            seen.push(`${request.method} ${request.url} ${String(request.headers["operation-id"] ?? "")}`.trim());
            answers[Math.min(seen.length, answers.length) - 1]?.(request, response);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return {
        seen,
        env: { IBIS_SERVER: url, IBIS_TOKEN: "token" },
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

describe("ibisctl apply", () => {
    const apply = () => ["apply", "-f", writeManifest(), "--operation-id", "op-1"];

    it("queries an operation after its response was lost", async () => {
        await using server = await startServer([dropConnection, json(operation("op-1"))]);
        const result = await runIbisctl([...apply(), "--output", "json"], server.env);
        expect(result.exitCode).toBe(0);
        expect(JSON.parse(result.stdout)).toMatchObject({ revision: 7 });
        expect(server.seen).toEqual(["POST /v1/operations op-1", "GET /v1/operations/op-1"]);
    });

    it("resubmits an operation with the same id when it is not recorded", async () => {
        const unavailable = problem("key_value_unavailable", 503);
        const answers = [
            dropConnection,
            problem("unknown_resource", 404),
            unavailable,
            unavailable,
            json(operation("op-1")),
        ];
        await using server = await startServer(answers);
        expect((await runIbisctl(apply(), server.env)).exitCode).toBe(0);
        expect(server.seen.filter(line => line === "POST /v1/operations op-1")).toHaveLength(3);
    });

    it("reports an unknown outcome after the timeout", async () => {
        await using server = await startServer([problem("outcome_unknown", 502)]);
        const result = await runIbisctl([...apply(), "--timeout", "0.1"], server.env);
        expect([result.exitCode, result.stderr]).toEqual([7, expect.stringContaining("[operation op-1]")]);
    });

    it("waits until the change is in force", async () => {
        await using server = await startServer([json(operation("op-1")), json(operation("op-1", "True"))]);
        const result = await runIbisctl([...apply(), "--wait"], server.env);
        expect(result.exitCode).toBe(0);
        expect(result.stderr).toContain("waiting: 2 of 3 members have revision 7");
    });

    it("stops waiting after the timeout", async () => {
        await using server = await startServer([json(operation("op-1"))]);
        expect((await runIbisctl([...apply(), "--wait", "--timeout", "0.1"], server.env)).exitCode).toBe(8);
    });

    it.each([
        ["version_conflict", 409, 3],
        ["invalid_resource", 422, 4],
        ["unknown_resource", 404, 5],
        ["key_value_unavailable", 503, 6],
        ["forbidden", 403, 1],
    ])("maps %s to its exit code", async (code, status, exitCode) => {
        const issues = [{ resource: "Service/payments", field: "spec.x", value: "1", reason: "is wrong" }];
        await using server = await startServer([problem(code, status, { issues })]);
        const result = await runIbisctl(apply(), server.env);
        expect([result.exitCode, result.stdout]).toEqual([exitCode, ""]);
        expect(result.stderr).toContain(`ibisctl: ${code}: why`);
        expect(result.stderr).toContain("  Service/payments spec.x: is wrong (value: 1)");
    });
});

describe("ibisctl", () => {
    it("resumes a watch after a lost connection", async () => {
        const event = (revision: number): ResponseHandler => (_request, response) => {
            const data = JSON.stringify({ revision, snapshot: false, resources: [], deleted: [], operations: [] });
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.end(`: heartbeat\n\nevent: change\nid: ${revision}\ndata: ${data}\n\n`);
        };
        await using server = await startServer([event(3), event(4)]);
        const result = await runIbisctl(["watch", "--count", "2"], server.env);
        expect(result).toMatchObject({ exitCode: 0, stdout: "revision 3\nrevision 4\n" });
        expect(server.seen).toEqual(["GET /v1/watch?afterRevision=0", "GET /v1/watch?afterRevision=3"]);
    });

    it("tries the next server when one cannot be reached", async () => {
        await using server = await startServer([json({ revision: 1, resources: [] })]);
        const env = { ...server.env, IBIS_SERVER: `http://127.0.0.1:1,${server.env.IBIS_SERVER}` };
        expect((await runIbisctl(["get", "Service"], env)).exitCode).toBe(0);
        expect((await runIbisctl(["get", "Service"], { IBIS_SERVER: "http://127.0.0.1:1" })).exitCode).toBe(6);
    });

    it.each([
        [["nonsense"], 2],
        [["apply"], 2],
        [["get", "Service", "--output", "xml"], 2],
        [["get", "Service"], 2],
        [["get", "Service", "--server", "ftp://host"], 2],
        [["completion", "fish"], 2],
        [["completion", "bash"], 0],
    ])("returns the exit code for %j", async (argumentTexts, exitCode) => {
        const result = await runIbisctl(argumentTexts);
        expect(result.exitCode).toBe(exitCode);
        expect(result.stderr).toMatch(exitCode === 0 ? /^$/ : /^ibisctl: /);
    });

    it("validates files offline and lists all issues", async () => {
        expect((await runIbisctl(["validate", "-f", writeManifest()])).exitCode).toBe(0);
        const faulty = writeManifest(`${MANIFEST}timeoutMs = 0\nrepeatable = 1\n`);
        const result = await runIbisctl(["validate", "-f", faulty]);
        expect(result.exitCode).toBe(4);
        expect(result.stderr).toContain("spec.timeoutMs");
        expect(result.stderr).toContain("spec.repeatable");
    });
});

describe("ibisctl rollout", () => {
    it("lists the rollouts of a host with the evidence for and against their targets", async () => {
        const counts = { route: "r", answers: 9, slow: 1 };
        await using server = await startServer([json({
            rollouts: [{
                service: "advisor",
                target: "v2",
                phase: "canary",
                reason: "the target has an upstream",
                share: 0.07,
                deadlineMs: 0,
                runningElsewhere: 3,
                versions: [{ ...counts, version: "v2", sent: 12, failures: 4 }, {
                    ...counts,
                    version: "v1",
                    sent: 150,
                    failures: 0,
                }],
            }, { service: "orders", target: "v7", runningElsewhere: 0, versions: [] }],
        })]);
        const result = await runIbisctl(["rollout", "list", server.env.IBIS_SERVER]);
        expect(server.seen).toEqual(["GET /rollouts"]);
        expect(result.exitCode).toBe(0);
        const cells = result.stdout.trim().split("\n").slice(1).map(line => line.trim().split(/ {2,}/));
        expect(cells).toEqual([
            [
                "advisor",
                "v2",
                "canary",
                "7.0 %",
                "1970-01-01T00:00:00.000Z",
                "12/4/1",
                "150/0/1",
                "3",
                "the target has an upstream",
            ],
            ["orders", "v7", "ordered", "-", "-", "0/0/0", "0/0/0", "0", "-"],
        ]);
    });
});
