import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ExitCode } from "../src";
import { causeOf } from "../src/explain/causeOf";
import type { LogLine } from "../src/explain/logLine";
import type { RequestExplanation } from "../src/explain/requestExplanation";
import type { TimeRangeExplanation } from "../src/explain/timeRangeExplanation";
import { runIbisctl } from "./runIbisctl";

/** Unmodified log lines of several hosts from a simulated day. */
const LOG = join(__dirname, "data", "day.jsonl");

const explain = async (requestId: string): Promise<RequestExplanation> => {
    const { exitCode, stdout } = await runIbisctl(["explain", requestId, "-f", LOG, "--output", "json"]);
    expect(exitCode).toBe(ExitCode.Ok);
    return JSON.parse(stdout) as RequestExplanation;
};

test("explains why a request was refused without being sent", async () => {
    const { cause } = await explain("bbfe31d228372415");
    expect(cause).toBe("The client account had used up its rate limit; nothing was sent.");
});

test("explains a late request by a wrong prediction, and shows that its host had lost contact to a peer", async () => {
    const { cause, lines, requestsBeside } = await explain("80339c44c59d0e4a");
    expect(cause).toMatch(/load unknown to the host/);
    expect(requestsBeside).toBeGreaterThan(0);
    expect(lines.some(({ event, host }) => event === "peer_lost" && host === "front-marmara-a-3")).toBe(true);
});

test.each([
    ["ended-inside-event after 12 ms", /^The upstream interrupted the response/],
    ["ended-during-move after 12 ms", /^The upstream interrupted the response/],
    ["event-too-large after 12 ms", /bytes that are no event/],
    ["framing-too-large", /bytes that became no response/],
])("explains the reason %s of a request that failed", (reason, expected) => {
    const fields = { outcome: "failed", reason, status: 502 };
    const end: LogLine = { event: "request_ended", host: "front-a", atMs: 0, fields };
    expect(causeOf(end)).toMatch(expected);
});

test("explains how far a stream had come at its deadline", () => {
    const fields = { outcome: "failed", reason: "deadline_passed", status: 504, events: 143 };
    const end: LogLine = { event: "request_ended", host: "front-a", atMs: 0, fields };
    expect(causeOf(end)).toBe("The deadline passed after 143 events of the stream.");
});

test("explains an interrupted response, and shows that the registration of the upstream expired afterwards", async () => {
    const { cause, lines } = await explain("168b7df9541d4291");
    expect(cause).toBe("The upstream interrupted the response, and the route does not allow another attempt.");
    const events = lines.map(({ event }) => event);
    expect(events).toContain("attempt_failed");
    expect(events.lastIndexOf("upstream_removed")).toBeGreaterThan(events.indexOf("request_ended"));
    expect(lines.map(({ atMs }) => atMs)).toEqual(lines.map(({ atMs }) => atMs).sort((left, right) => left - right));
});

test("formats the cause first and marks the lines of the request", async () => {
    const { stdout } = await runIbisctl(["explain", "168b7df9541d4291", "-f", LOG]);
    expect(stdout.startsWith("168b7df9541d4291: The upstream interrupted the response")).toBe(true);
    expect(stdout).toMatch(/\*\s+front-ege-a-1\s+request_ended/);
});

test("skips text that is not a log line, and accepts the prefix of a log collector", async () => {
    const path = join(mkdtempSync(join(tmpdir(), "ibisctl-")), "hosts.log");
    const line =
        "{\"host\":\"a\",\"message\":\"request_ended\",\"timestamp\":\"2026-01-01T00:00:00Z\",\"requestId\":\"r\"}";
    writeFileSync(path, `starting\n{"x":\nnode-7 stdout: ${line}\n{}\nnull {\n`);
    const { stdout, exitCode } = await runIbisctl(["explain", "r", "-f", path, "--output", "json"]);
    expect(exitCode).toBe(ExitCode.Ok);
    expect((JSON.parse(stdout) as RequestExplanation).lines).toHaveLength(1);
});

test("explains a refusal by pauses that upstreams asked for, and lists them", async () => {
    const path = join(mkdtempSync(join(tmpdir(), "ibisctl-")), "hosts.log");
    const line = (second: number, fields: Readonly<Record<string, unknown>>): string =>
        JSON.stringify({ host: "a", timestamp: `2026-01-01T00:00:0${second}Z`, ...fields });
    writeFileSync(
        path,
        [
            line(1, { message: "upstream_paused", upstreamId: "u-1", pauseMs: 2_000 }),
            line(2, { message: "request_ended", requestId: "r", outcome: "refused", reason: "paused", status: 503 }),
        ].join("\n"),
    );
    const { stdout } = await runIbisctl(["explain", "r", "-f", path, "--output", "json"]);
    const { cause, lines } = JSON.parse(stdout) as RequestExplanation;
    expect(cause).toBe(
        "Every upstream of the service had asked for a pause or stated a limit that left this host no room; nothing was sent.",
    );
    expect(lines.map(({ event }) => event)).toEqual(["upstream_paused", "request_ended"]);
});

test.each([
    ["prompt_part_quarantined", "part", "quarantinedPart"],
    ["request_quarantined", "fingerprint", "fingerprint"],
])("names what is quarantined of a refused request: %s", async (reason, field, endField) => {
    const path = join(mkdtempSync(join(tmpdir(), "ibisctl-")), "hosts.log");
    const line = (second: number, fields: Readonly<Record<string, unknown>>): string =>
        JSON.stringify({ host: "a", timestamp: `2026-01-01T00:00:0${second}Z`, ...fields });
    const refusal = { reason, status: 503, [endField]: "5c1e07a2" };
    writeFileSync(
        path,
        [
            line(1, { message: reason, [field]: "5c1e07a2", crashes: 3 }),
            line(2, { message: "request_ended", requestId: "r", outcome: "refused", ...refusal }),
        ].join("\n"),
    );
    const { stdout } = await runIbisctl(["explain", "r", "-f", path, "--output", "json"]);
    const { cause, lines } = JSON.parse(stdout) as RequestExplanation;
    expect(cause).toContain("5c1e07a2");
    expect(lines.map(({ event }) => event)).toEqual([reason, "request_ended"]);
});

test("fails with separate exit codes for an unknown request and an unreadable file", async () => {
    expect((await runIbisctl(["explain", "none", "-f", LOG])).exitCode).toBe(ExitCode.NotFound);
    expect((await runIbisctl(["explain", "none", "-f", join(LOG, "missing")])).exitCode).toBe(ExitCode.Invalid);
});

test("groups the requests of a time range by cause, and lists the other events", async () => {
    const span = ["--from", "2026-06-04T05:57:05.000Z", "--until", "2026-06-04T05:57:09Z"];
    const { exitCode, stdout } = await runIbisctl(["explain", ...span, "-f", LOG, "--output", "json"]);
    expect(exitCode).toBe(ExitCode.Ok);
    const { requests, causes, lines } = JSON.parse(stdout) as TimeRangeExplanation;
    expect(requests).toBe(10);
    expect(causes).toEqual([expect.objectContaining({ count: 8, exampleId: "faf83c4b0bb99852" })]);
    expect(causes[0]?.hosts["front-ege-a-1"]).toBe(3);
    expect(lines.map(({ event }) => event)).toContain("upstream_removed");
    expect(lines.every(({ event }) => event !== "request_ended")).toBe(true);
    const { stdout: text } = await runIbisctl(["explain", ...span, "-f", LOG]);
    expect(text).toMatch(/^8 +The upstream interrupted the response/m);
});

test("fails when neither a request nor a complete time range is given", async () => {
    expect((await runIbisctl(["explain", "-f", LOG])).exitCode).toBe(ExitCode.Invalid);
    expect((await runIbisctl(["explain", "--from", "2026-06-04T05:57:00Z", "-f", LOG])).exitCode).toBe(
        ExitCode.Invalid,
    );
});
