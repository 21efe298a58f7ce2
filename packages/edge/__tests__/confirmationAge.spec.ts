// Guards against a list that is taken for current after the machine was suspended or its clock was set.
import { createConfirmationAge } from "../src/createConfirmationAge";

const createAge = () => {
    const clock = { monotonicMs: 1_000, wallMs: 50_000 };
    const age = createConfirmationAge({ monotonicMs: () => clock.monotonicMs, wallMs: () => clock.wallMs });
    return { clock, age };
};

test("the age is that of the clock that shows more", () => {
    const { clock, age } = createAge();
    expect(age.ageMs()).toBe(Infinity);
    age.confirm(200);
    expect(age.ageMs()).toBe(200);
    clock.wallMs += 7_000;
    expect(age.ageMs()).toBe(7_200);
    clock.wallMs -= 60_000;
    clock.monotonicMs += 300;
    expect(age.ageMs()).toBe(500);
});

test("an older confirmation changes nothing, and a newer list ends all until a later confirmation", () => {
    const { clock, age } = createAge();
    age.confirm(100);
    age.confirm(900);
    expect([age.ageMs(), age.newestAgeMs()]).toEqual([100, 100]);
    age.supersede();
    expect([age.ageMs(), age.newestAgeMs()]).toEqual([100, Infinity]);
    clock.monotonicMs += 500;
    age.confirm(550);
    expect([age.ageMs(), age.newestAgeMs()]).toEqual([550, Infinity]);
    age.confirm(400);
    expect([age.ageMs(), age.newestAgeMs()]).toEqual([400, 400]);
});
