// Benchmark of a host's work, by hand: ADMISSION_BENCHMARK=1 npx jest packages/admission/__tests__/benchmark.spec.ts
import { type AccountId, createRandom, type HostId, type ServiceName } from "@ibislanding/core";
import { createAdmissionLevel, createAdmissionQueue, type DemandRow, type WaitingRequest } from "../src";

const SERVICE = "chat" as ServiceName;
const benchmark = process.env["ADMISSION_BENCHMARK"] === undefined ? test.skip : test;

const rowsAt = (seconds: number): readonly DemandRow[] =>
    Array.from({ length: 48 }, (_, index) => ({
        service: SERVICE,
        urgency: index % 3,
        accountId: `account-${Math.floor(index / 3)}` as AccountId,
        offeredUnits: seconds * (1_000 + index),
        sentUnits: seconds * 500,
    }));

benchmark("work of a host at 82 hosts, 16 accounts and 3 urgencies, with 25 requests a second", () => {
    let nowMs = 0;
    const level = createAdmissionLevel({
        clock: { monotonicMs: () => nowMs },
        random: createRandom(1),
        isEnabled: () => true,
        onLevelChange: () => undefined,
    });
    const seconds = 1_000;
    const reports = Array.from({ length: seconds * 2 }, (_, index) => rowsAt(index / 2));
    const started = process.cpuUsage();
    for (let second = 0; second < seconds; second++) {
        for (let report = 0; report < 2; report++) {
            nowMs += 20;
            for (let zone = 0; zone < 6; zone++) {
                level.observePeer(`zone-${zone}` as HostId, reports[second * 2 + report] ?? []);
            }
            level.rows();
        }
        for (let request = 0; request < 25; request++) {
            nowMs += 38;
            const offered = {
                service: SERVICE,
                urgency: request % 3,
                accountId: `account-${request % 16}` as AccountId,
                units: 2_000,
            };
            level.recordOffered(offered);
            if (level.admits(offered, () => 0)) {
                level.recordFirstEvent(offered, 0.6);
            }
        }
    }
    const { user, system } = process.cpuUsage(started);
    const durationMs = (user + system) / 1_000;
    process.stdout.write(`level: ${(durationMs / seconds).toFixed(3)} ms of processor time for each second\n`);
});

benchmark("requests that leave and enter a queue of 10,000", () => {
    const random = createRandom(1);
    let nowMs = 0;
    const queue = createAdmissionQueue<WaitingRequest>({
        clock: { monotonicMs: () => nowMs },
        servedUnitsPerS: () => 0,
    });
    const add = (): void =>
        queue.add({
            service: SERVICE,
            urgency: random.nextInt(3),
            accountId: `account-${random.nextInt(16)}` as AccountId,
            units: 100 + random.nextInt(9_000),
            dueAtMs: nowMs + random.nextInt(4_000),
        });
    Array.from({ length: 10_000 }, add);
    const operations = 200_000;
    const started = process.cpuUsage();
    for (let operation = 0; operation < operations; operation++) {
        nowMs += 0.1;
        const request = queue.first();
        if (request !== undefined) {
            queue.release(request);
        }
        add();
    }
    const { user, system } = process.cpuUsage(started);
    process.stdout.write(`queue: ${Math.round(operations / ((user + system) / 1e6))} operations a second\n`);
});
