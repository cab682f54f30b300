import MatrixCell from './MatrixCell';
import faults from './faults';
import steps from './steps';

/** How long after the fault the messages held back by the step are released. */
const RELEASE_DELAY_MS = 40;

/** Runs one cell of the matrix and returns its outcome as one line. */
export default async function runCell(faultName: string, stepName: string): Promise<string> {
  const cell = await MatrixCell.open();
  const { system } = cell;
  const fault = faults[faultName]!;
  const release = await steps[stepName]!(cell);
  if (typeof release === 'string') return `not met: ${release}`;
  const { roles } = cell;
  fault.inject(system, roles);
  await system.timer.advance(RELEASE_DELAY_MS);
  await release();
  await system.timer.advance(fault.durationMs);
  await fault.clear(system, roles);
  for (const name of [...system.entries.keys(), ...system.sidecars.keys()]) {
    if (!system.isRunning(name)) await system.restart(name);
  }
  return cell.conclude();
}
