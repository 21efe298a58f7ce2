import { PassThrough } from "node:stream";
import { runCommandLine } from "../src";

const collect = () => {
    const stream = new PassThrough();
    const chunks: Buffer[] = [];
    stream.on("data", (chunk: Buffer) => chunks.push(chunk));
    return { stream, text: () => Buffer.concat(chunks).toString("utf8") };
};

/** Runs a command line in this process with the given environment; returns its exit code and output. */
export const runIbisctl = async (argumentTexts: readonly string[], env: Readonly<Record<string, string>> = {}) => {
    const stdout = collect();
    const stderr = collect();
    const exitCode = await runCommandLine(argumentTexts, { env, stdout: stdout.stream, stderr: stderr.stream });
    return { exitCode, stdout: stdout.text(), stderr: stderr.text() };
};
