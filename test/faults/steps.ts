import type MatrixCell from './MatrixCell';

/** Brings a cell to a step. Returns an action to run shortly after the fault, or why the step was not reached. */
type Step = (cell: MatrixCell) => Promise<(() => void | Promise<void>) | string>;

const noop = () => undefined;

/** Sends the calls and waits until a message of a kind is held back; the first `skip` of them pass. */
function holdMessages(kind: string, skip = 0): Step {
  return async (cell) => {
    const held = cell.hold(kind, skip);
    cell.sendCalls();
    const met = await cell.system.advanceUntil(() => held.size > 0, 2000);
    return met ? () => held.release() : `no ${kind} was sent`;
  };
}

/** Sends the calls and waits until tasks have been running for a while. */
async function startTasks(cell: MatrixCell): Promise<void> {
  cell.sendCalls();
  await cell.system.advanceUntil(() => cell.startCount('J') > 0, 2000);
  await cell.system.timer.advance(100);
}

/** The steps of the matrix, by name. */
const steps: Readonly<Record<string, Step>> = {
  'before accept': async (cell) => () => cell.sendCalls(),
  accepted: async (cell) => {
    const { system, roles } = cell;
    const tasks = new Array(system.slots * system.sidecars.size).fill(700);
    system.call({ id: 'filler', kind: 'job', tasks, via: roles.forwarder });
    await system.timer.advance(50);
    cell.sendCalls();
    await system.timer.advance(50);
    return cell.startCount('J') === 0 ? noop : 'a task started although all slots were taken';
  },
  'start sent': holdMessages('start'),
  'start received': async (cell) => {
    cell.sendCalls();
    const met = await cell.system.advanceUntil(() => cell.startCount('J') > 0, 2000);
    return met ? noop : 'no start was received';
  },
  running: async (cell) => {
    await startTasks(cell);
    return noop;
  },
  'done unreported': holdMessages('done'),
  reported: holdMessages('done', 3),
  answering: holdMessages('forward.answer'),
  'answered then resubmitted': async (cell) => {
    cell.sendCalls();
    const met = await cell.system.advanceUntil(() => cell.system.openCalls === 0, 5000);
    return met ? () => cell.sendCalls() : 'no answer came';
  },
  fencing: async (cell) => {
    const { system, roles } = cell;
    await startTasks(cell);
    const held = system.network.hold(({ kind }) => kind === 'fenced');
    system.kill(roles.owner);
    const met = await system.advanceUntil(() => held.size > 0, 12_000, 5);
    const { owner, other, forwarder } = roles;
    Object.assign(cell, { roles: { ...roles, owner: other, other: forwarder } });
    return met
      ? async () => {
          held.release();
          await system.restart(owner);
        }
      : 'no sidecar confirmed a view';
  },
  'owner draining': async (cell) => {
    await startTasks(cell);
    cell.system.shutDown(cell.roles.owner);
    await cell.system.timer.advance(20);
    return noop;
  },
  'sidecar draining': async (cell) => {
    await startTasks(cell);
    cell.system.shutDown(cell.roles.sidecar);
    await cell.system.timer.advance(20);
    return noop;
  },
  'applying configuration': async (cell) => {
    const { system } = cell;
    await startTasks(cell);
    const kinds = ['configuration', 'inForce'];
    const held = system.network.hold(({ kind }) => kinds.includes(kind));
    await system.configure();
    const met = await system.advanceUntil(() => held.size > 0, 2000);
    return met ? () => held.release() : 'no configuration was sent';
  },
};

export default steps;
