// Guards against callers who are served far worse at a host whose links to half, or all, of the upstreams hang and heal each second.
import { actEveryMs } from "./support/actEveryMs";
import { pauseMs } from "./support/pauseMs";
import { sendTestRequest } from "./support/sendTestRequest";
import { startPacedTime } from "./support/startPacedTime";
import { startRelayGroup } from "./support/startRelayGroup";

const FLAPS = 3;
const FLAP_MS = 1_000;
const SEND_INTERVAL_MS = 80;
const OBJECTIVE_MS = 1_000;

const links = { "half of the links": (index: number) => index % 2 === 1, "all links": () => true } as const;

const cases = Object.keys(links).flatMap(name =>
    (["repeatable", "once"] as const).map(kind => [name as keyof typeof links, kind] as const)
);

test.each(cases)("a host of three of which %s flap serves its callers as the others do (%s)", async (name, kind) => {
    await using _paced = startPacedTime();
    await using group = await startRelayGroup({
        hosts: 3,
        behindForwarders: 1,
        route: { kind, objectiveMs: OBJECTIVE_MS, timeoutMs: 4_000, maximumAttempts: 2 },
        isBehindForwarder: links[name],
    });
    const sent: Promise<{ readonly host: number; readonly isInTime: boolean; }>[] = [];
    const send = async (host: number, requestId: string) => {
        const startedAtMs = performance.now();
        const headers = { "X-Request": requestId };
        const status = await sendTestRequest(group.hosts[host]?.callers ?? 0, {
            path: "/orders/1",
            body: "{}",
            headers,
        });
        return { host, isInTime: status === 200 && performance.now() - startedAtMs <= OBJECTIVE_MS };
    };
    const flap = async (): Promise<void> => {
        for (let count = 0; count < FLAPS; count++) {
            await group.forwarders[0]?.hang();
            await pauseMs(FLAP_MS);
            group.forwarders[0]?.resume();
            await pauseMs(FLAP_MS);
        }
    };
    await Promise.all([
        flap(),
        actEveryMs(
            SEND_INTERVAL_MS,
            2 * FLAPS * FLAP_MS,
            index => group.hosts.forEach((_, host) => void sent.push(send(host, `r${host}-${index}`))),
        ),
    ]);
    const tries = await Promise.all(sent);
    const shareOf = (isFlapping: boolean): number => {
        const own = tries.filter(({ host }) => host === 0 === isFlapping);
        return own.filter(({ isInTime }) => isInTime).length / own.length;
    };
    expect(shareOf(false)).toBeGreaterThan(0.95);
    expect(shareOf(true)).toBeGreaterThanOrEqual(shareOf(false) * 2 / 3);
    if (kind === "once") {
        expect([...group.runs].filter(([, count]) => count > 1)).toEqual([]);
    }
}, 240_000);
