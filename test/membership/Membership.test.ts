import { expect, test } from 'vitest';
import MembershipCase from '../support/MembershipCase';
import outcome from '../support/outcome';
import formatView from '../support/formatView';

const twelveNames = [...'abcdefghijkl'];

test('entries that join concurrently are all in the view', async () => {
  const entries = await new MembershipCase().startAll('a', 'b');
  expect(entries.map(({ views }) => formatView(views.current))).toMatchInlineSnapshot(`
    [
      "2: a b (1: a)",
      "2: a b (1: a)",
    ]
  `);
});

test('joins only once if the answer to its write is lost', async () => {
  const fixture = new MembershipCase();
  const { engine, timer } = fixture;
  engine.setFaults({ slowMs: 10 });
  const { views } = fixture.start('a');
  await timer.advance(35);
  engine.setFaults({ slowMs: 10, answerLost: true });
  await timer.advance(10);
  engine.setFaults({});
  await timer.advance(1_000);
  expect([formatView(views.current), JSON.stringify(engine.calls().a)]).toMatchInlineSnapshot(`
    [
      "1: a ()",
      "{"list":1,"grantLease":1,"watch":3,"put":2,"get":2}",
    ]
  `);
});

test('removes a member only once if the answer to the write is lost', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b', 'c');
  fixture.suspected.add('c');
  fixture.engine.setFaults({ answerLost: true });
  await fixture.expireLease('c');
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"4: a b (1: a, 2: a c, 3: a c b)"`);
});

test('a store outage does not change the view, and after it only members that had expired before are removed', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b', 'c');
  await fixture.expireLease('c');
  fixture.engine.setFaults({ down: true });
  fixture.suspected.add('b').add('c');
  await fixture.timer.advance(600_000);
  const duringOutage = formatView(a?.views.current);
  fixture.engine.setFaults({});
  await fixture.timer.advance(60_000);
  expect([duringOutage, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "3: a b c (1: a, 2: a c)",
      "4: a b (1: a, 2: a c, 3: a c b)",
    ]
  `);
});

test('a member with a new lease stays in the view, even if others learn of the lease late', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b');
  await fixture.expireLease('b');
  fixture.engine.setFaults({ down: true }, 'a');
  fixture.engine.setFaults({}, 'b');
  await fixture.timer.advance(6_000);
  fixture.suspected.add('b');
  fixture.engine.setFaults({}, 'a');
  await fixture.timer.advance(60_000);
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"2: a b (1: a)"`);
});

test('a lease that ended while the watch was failing is detected by the next list', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b');
  fixture.suspected.add('b');
  fixture.engine.setFaults({ down: true }, 'a');
  await fixture.timer.advance(1_000);
  fixture.engine.setFaults({ down: true }, 'b');
  await fixture.engine.revokeLease('lease-2');
  fixture.engine.setFaults({}, 'a');
  await fixture.timer.advance(60_000);
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"3: a (1: a, 2: a b)"`);
});

test('a member with an expired lease is removed only once it is suspected', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b');
  await fixture.expireLease('b');
  const unsuspected = formatView(a?.views.current);
  fixture.suspected.add('b');
  await fixture.timer.advance(2_000);
  expect([unsuspected, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "2: a b (1: a)",
      "3: a (1: a, 2: a b)",
    ]
  `);
});

test('a suspected member with a valid lease is not removed', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b');
  fixture.suspected.add('b');
  await fixture.timer.advance(60_000);
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"2: a b (1: a)"`);
});

test('a member that was paused learns of its removal and does not rejoin', async () => {
  const fixture = new MembershipCase();
  const [a, b] = await fixture.startAll('a', 'b');
  const events: string[] = [];
  b?.views.subscribe((view) => events.push(formatView(view)));
  b?.ended.then((reason) => events.push(reason)).catch(() => undefined);
  fixture.suspected.add('b');
  await fixture.expireLease('b');
  fixture.engine.setFaults({}, 'b');
  await fixture.timer.advance(60_000);
  fixture.start('b2', 'b');
  await fixture.timer.advance(1_000);
  expect([...events, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "3: a (1: a, 2: a b)",
      "removed",
      "4: a b2 (1: a, 2: a b, 3: a)",
      "4: a b2 (1: a, 2: a b, 3: a)",
    ]
  `);
});

test('a new incarnation replaces the previous one of its instance', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a');
  const b = fixture.start('a2', 'a');
  await fixture.timer.advance(1_000);
  expect([await a?.ended, formatView(b.views.current)]).toMatchInlineSnapshot(`
    [
      "removed",
      "2: a2 (1: a)",
    ]
  `);
});

test('leaves the view and revokes its lease', async () => {
  const fixture = new MembershipCase();
  const [a, b] = await fixture.startAll('a', 'b');
  await b?.membership.leave();
  await fixture.timer.advance(1_000);
  const key = await outcome(fixture.engine.get('entries/b'));
  expect([await b?.ended, key, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "stopped",
      "nothing",
      "3: a (1: a, 2: a b)",
    ]
  `);
});

test('a removed incarnation never rejoins, even if it never saw itself as a member', async () => {
  const fixture = new MembershipCase();
  const [a] = await fixture.startAll('a', 'b');
  fixture.suspected.add('b');
  await fixture.expireLease('b');
  fixture.engine.setFaults({}, 'b');
  const again = fixture.start('b');
  await fixture.timer.advance(1_000);
  expect([await again.ended, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "removed",
      "3: a (1: a, 2: a b)",
    ]
  `);
});

test('does not write to a store that has lost its view', async () => {
  const fixture = new MembershipCase();
  await fixture.startAll('a', 'b');
  await fixture.engine.remove('view');
  fixture.suspected.add('b');
  await fixture.expireLease('b');
  expect(await outcome(fixture.engine.get('view'))).toBe('nothing');
});

test('twelve entries stay within the budget of store calls', async () => {
  const fixture = new MembershipCase();
  await fixture.startAll(...twelveNames);
  expect(await fixture.countCallsDuring(600_000)).toMatchInlineSnapshot(
    `"renewLease 2400, watch 4800"`,
  );
});

test('a store outage and its end cause no burst of calls', async () => {
  const fixture = new MembershipCase();
  await fixture.startAll(...twelveNames);
  fixture.engine.setFaults({ down: true });
  const down = await fixture.countCallsDuring(600_000);
  fixture.engine.setFaults({});
  expect([down, await fixture.countCallsDuring(60_000)]).toMatchInlineSnapshot(`
    [
      "list 298, renewLease 2451",
      "list 12, renewLease 240, watch 356",
    ]
  `);
});
