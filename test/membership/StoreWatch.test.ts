import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import updateKey from '../../src/store/updateKey';
import MembershipCase from '../support/MembershipCase';
import outcome from '../support/outcome';

function manifest(version: number, applyId: string): string {
  return JSON.stringify({ version, applyId, manifest: { note: applyId }, appliedAt: '' });
}

/** Applies a manifest as the operator's tool does: each apply has an id by which it recognises its own write. */
function apply({ engine, timer }: MembershipCase, applyId: string) {
  return updateKey({
    store: engine.client(applyId),
    timer,
    random: Random.fromSeed(applyId.length),
    key: 'manifest',
    maxAttempts: 5,
    computeValue: (item) => {
      const stored = JSON.parse(item?.value ?? '{"version":0}');
      return stored.applyId === applyId ? undefined : manifest(stored.version + 1, applyId);
    },
  }).map((item) => item?.value);
}

test('an apply takes effect once if the answer to its write is lost', async () => {
  const fixture = new MembershipCase();
  fixture.engine.setFaults({ answerLost: true });
  const applied = outcome(apply(fixture, 'first'));
  await fixture.timer.advance(1_000);
  expect([await applied, fixture.engine.calls().first]).toMatchInlineSnapshot(`
    [
      "{\\version\\:1,\\applyId\\:\\first\\,\\manifest\\:{\\note\\:\\first\\},\\appliedAt\\:\\\\}",
      {
        "get": 2,
        "put": 1,
      },
    ]
  `);
});

test('concurrent applies both take effect, one after the other', async () => {
  const fixture = new MembershipCase();
  const applied = Promise.all(['one', 'other'].map((id) => outcome(apply(fixture, id))));
  await fixture.timer.advance(1_000);
  expect(await applied).toMatchInlineSnapshot(`
    [
      "{\\version\\:1,\\applyId\\:\\one\\,\\manifest\\:{\\note\\:\\one\\},\\appliedAt\\:\\\\}",
      "{\\version\\:2,\\applyId\\:\\other\\,\\manifest\\:{\\note\\:\\other\\},\\appliedAt\\:\\\\}",
    ]
  `);
});

test('adopts newer configurations, but no older or unparsable ones', async () => {
  const fixture = new MembershipCase();
  const { configurations, watch } = fixture.start('a');
  const seen: string[] = [];
  const write = async (value: string): Promise<void> => {
    await fixture.engine.put('manifest', value);
    await fixture.timer.advance(1_000);
    const { version, manifest: text } = configurations.current;
    seen.push(`${version} ${text}, unreadable ${watch.unreadableCount}`);
  };
  await write(manifest(2, 'second'));
  await write(manifest(1, 'first'));
  await write('{"version":');
  await write(manifest(3, 'third'));
  expect(seen).toMatchInlineSnapshot(`
    [
      "2 {"note":"second"}, unreadable 0",
      "2 {"note":"second"}, unreadable 0",
      "2 {"note":"second"}, unreadable 1",
      "3 {"note":"third"}, unreadable 1",
    ]
  `);
});
