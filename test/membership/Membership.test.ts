import { expect, test } from 'vitest';
import MembershipCase from '../support/MembershipCase';
import outcome from '../support/outcome';
import formatView from '../support/formatView';

const twelve = [...'abcdefghijkl'];

test('entries that join at once are all in the view', async () => {
  const entries = await new MembershipCase().startAll('a', 'b');
  expect(entries.map(({ views }) => formatView(views.current))).toMatchInlineSnapshot(`
    [
      "2: a b (1: a)",
      "2: a b (1: a)",
    ]
  `);
});

test('joins once although the answer is lost after the effect', async () => {
  const it = new MembershipCase();
  const { engine, timer } = it;
  engine.setFaults({ slowMs: 10 });
  const { views } = it.start('a');
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

test('removes once although the answer is lost after the effect', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b', 'c');
  it.suspected.add('c');
  it.engine.setFaults({ answerLost: true });
  await it.expireLease('c');
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"4: a b (1: a, 2: a c, 3: a c b)"`);
});

test('an outage freezes the view, and its end removes only who had lapsed before', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b', 'c');
  await it.expireLease('c');
  it.engine.setFaults({ down: true });
  it.suspected.add('b').add('c');
  await it.timer.advance(600_000);
  const frozen = formatView(a?.views.current);
  it.engine.setFaults({});
  await it.timer.advance(60_000);
  expect([frozen, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "3: a b c (1: a, 2: a c)",
      "4: a b (1: a, 2: a c, 3: a c b)",
    ]
  `);
});

test('a lease taken again keeps its holder in the view, even when the news is late', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b');
  await it.expireLease('b');
  it.engine.setFaults({ down: true }, 'a');
  it.engine.setFaults({}, 'b');
  await it.timer.advance(6_000);
  it.suspected.add('b');
  it.engine.setFaults({}, 'a');
  await it.timer.advance(60_000);
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"2: a b (1: a)"`);
});

test('a lease that ended while the watch was broken is noticed by the listing', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b');
  it.suspected.add('b');
  it.engine.setFaults({ down: true }, 'a');
  await it.timer.advance(1_000);
  it.engine.setFaults({ down: true }, 'b');
  await it.engine.revokeLease('lease-2');
  it.engine.setFaults({}, 'a');
  await it.timer.advance(60_000);
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"3: a (1: a, 2: a b)"`);
});

test('a lapsed lease removes only with suspicion', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b');
  await it.expireLease('b');
  const lapsed = formatView(a?.views.current);
  it.suspected.add('b');
  await it.timer.advance(2_000);
  expect([lapsed, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "2: a b (1: a)",
      "3: a (1: a, 2: a b)",
    ]
  `);
});

test('suspicion without a lapsed lease removes nobody', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b');
  it.suspected.add('b');
  await it.timer.advance(60_000);
  expect(formatView(a?.views.current)).toMatchInlineSnapshot(`"2: a b (1: a)"`);
});

test('a member that was paused finds itself removed and stays out', async () => {
  const it = new MembershipCase();
  const [a, b] = await it.startAll('a', 'b');
  const told: string[] = [];
  b?.views.subscribe((view) => told.push(formatView(view)));
  b?.ended.then((reason) => told.push(reason)).catch(() => undefined);
  it.suspected.add('b');
  await it.expireLease('b');
  it.engine.setFaults({}, 'b');
  await it.timer.advance(60_000);
  it.start('b2', 'b');
  await it.timer.advance(1_000);
  expect([...told, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "3: a (1: a, 2: a b)",
      "removed",
      "4: a b2 (1: a, 2: a b, 3: a)",
      "4: a b2 (1: a, 2: a b, 3: a)",
    ]
  `);
});

test('a new incarnation replaces the older one of its instance', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a');
  const b = it.start('a2', 'a');
  await it.timer.advance(1_000);
  expect([await a?.ended, formatView(b.views.current)]).toMatchInlineSnapshot(`
    [
      "removed",
      "2: a2 (1: a)",
    ]
  `);
});

test('leaves the view and gives its lease back', async () => {
  const it = new MembershipCase();
  const [a, b] = await it.startAll('a', 'b');
  await b?.membership.leave();
  await it.timer.advance(1_000);
  const key = await outcome(it.engine.get('entries/b'));
  expect([await b?.ended, key, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "stopped",
      "nothing",
      "3: a (1: a, 2: a b)",
    ]
  `);
});

test('never joins again once removed, even if it never saw itself join', async () => {
  const it = new MembershipCase();
  const [a] = await it.startAll('a', 'b');
  it.suspected.add('b');
  await it.expireLease('b');
  it.engine.setFaults({}, 'b');
  const again = it.start('b');
  await it.timer.advance(1_000);
  expect([await again.ended, formatView(a?.views.current)]).toMatchInlineSnapshot(`
    [
      "removed",
      "3: a (1: a, 2: a b)",
    ]
  `);
});

test('does not write to a store that lost its view', async () => {
  const it = new MembershipCase();
  await it.startAll('a', 'b');
  await it.engine.remove('view');
  it.suspected.add('b');
  await it.expireLease('b');
  expect(await outcome(it.engine.get('view'))).toBe('nothing');
});

test('twelve entries keep to the budget of calls', async () => {
  const it = new MembershipCase();
  await it.startAll(...twelve);
  expect(await it.countCallsDuring(600_000)).toMatchInlineSnapshot(`"renewLease 2400, watch 240"`);
});

test('an outage and its end bring no storm of calls', async () => {
  const it = new MembershipCase();
  await it.startAll(...twelve);
  it.engine.setFaults({ down: true });
  const down = await it.countCallsDuring(600_000);
  it.engine.setFaults({});
  expect([down, await it.countCallsDuring(60_000)]).toMatchInlineSnapshot(`
    [
      "list 285, renewLease 2440",
      "list 12, renewLease 236, watch 23",
    ]
  `);
});
