"""Estimates how long machines take to boot, and which booting machines will come up in time.

Boot times are estimated from recent boots of the same type and zone, so that the autoscaler does
not answer a slow cloud with more and more requests. No I/O.
"""

from __future__ import annotations

from ploverhall.autoscaling.fleet_state import CLOUD_FAILED, FleetState, RentedMachine

DEFAULT_BOOT_S = 60.0  # for a type that the cloud no longer offers
# A machine usually boots within this multiple of its expected boot time plus the margin
TYPICAL_BOOT_MULTIPLE = 1.6
BOOT_MARGIN_S = 5.0
MAX_BOOT_MULTIPLE = 8.0  # a machine that has been booting for longer is not expected to come up
MAX_BOOT_FACTOR = 6.0  # limit on the ratio of recent to nominal boot times
BOOT_HISTORY_S = 300.0  # boots within this time count as recent
BOOT_SAMPLE_SIZE = 8  # most recent boots that an estimate uses
# A machine that has been booting for longer is returned. The first pair applies where only that
# machine is late, the second where the whole cloud is slow.
LATE_BOOT_MULTIPLE = 3.5
LATE_BOOT_MARGIN_S = 20.0
SLOW_CLOUD_BOOT_MULTIPLE = 6.0
SLOW_CLOUD_MARGIN_S = 60.0
MIN_LATER_BOOTS = 2  # a booting machine is late once this many machines rented later are up


class BootTracking(FleetState):
    """Estimates boot times and classifies booting machines as on time or overdue."""

    def _boot_time_s(self, place: tuple[str, str], now: float) -> float:
        """Return the expected boot time in seconds of a machine of this type and zone.

        `place` is (type, zone). The result is the nominal boot time, or longer where recent boots
        took longer.
        """
        machine_type = self.machine_types.get(place[0])
        nominal_s = machine_type.boot_s if machine_type else DEFAULT_BOOT_S
        recent_s = sorted(
            up_at - rented_at
            for rented_at, up_at in list(self.boot_history.get(place, ()))[-BOOT_SAMPLE_SIZE:]
            if now - up_at < BOOT_HISTORY_S
        )
        if not recent_s:
            return nominal_s
        median_s = recent_s[len(recent_s) // 2]
        return nominal_s * min(MAX_BOOT_FACTOR, max(1.0, median_s / max(nominal_s, 1.0)))

    def _later_machines_are_up(self, machine: RentedMachine) -> bool:
        """Return whether enough machines rented later are up.

        In that case this machine is late, and not the cloud as a whole.
        """
        later_boots = sum(
            1
            for rented_at, _ in self.boot_history.get(machine.pool[:2], ())
            if rented_at >= machine.rented_at - 1.0
        )
        return later_boots >= MIN_LATER_BOOTS

    def _boot_timeout_s(self, machine: RentedMachine, nominal_s: float, now: float) -> float:
        """Return the age in seconds at which a machine that is still booting is returned.

        The timeout is longer where no later machine comes up either: the cloud is then slow, and a
        replacement would not be up sooner than the machine itself.
        """
        if self._later_machines_are_up(machine):
            return (
                LATE_BOOT_MULTIPLE * self._boot_time_s(machine.pool[:2], now) + LATE_BOOT_MARGIN_S
            )
        return SLOW_CLOUD_BOOT_MULTIPLE * nominal_s + SLOW_CLOUD_MARGIN_S

    def _is_booting(self, machine: RentedMachine) -> bool:
        """Return whether a machine has not been up yet and may still come up."""
        return (
            machine.update is None
            and not machine.returning
            and machine.cloud_state != CLOUD_FAILED
            and machine.updated_at == 0.0
        )

    def _boots_late(self, place: tuple[str, str], now: float) -> bool:
        """Return whether machines of this type and zone currently boot late or not at all."""
        machine_type = self.machine_types.get(place[0])
        return self.overdue.get(place, 0) > 0 or (
            machine_type is not None and self._boot_time_s(place, now) > 2.0 * machine_type.boot_s
        )

    def late_machines(self, now: float) -> list[tuple[str, int, float]]:
        """Return the machines that boot late, by type and zone.

        Returns:
            A sorted list of ("TYPE in ZONE", number of late machines, age of the oldest in s).
        """
        late: dict[str, tuple[int, float]] = {}
        for machine in self.machines.values():
            age_s = now - machine.rented_at
            if (
                self._is_booting(machine)
                and age_s > 2.0 * self._boot_time_s(machine.pool[:2], now) + BOOT_MARGIN_S
            ):
                place = f"{machine.pool[0]} in {machine.pool[1]}"
                count, oldest_s = late.get(place, (0, 0.0))
                late[place] = (count + 1, max(oldest_s, age_s))
        return [(place, count, round(age_s, 1)) for place, (count, age_s) in sorted(late.items())]

    def _expected_boots(self, now: float) -> dict[str, bool]:
        """Return for each booting machine whether it is expected to come up in time.

        Also recounts `booting_on_time` and `overdue`. A late machine is not expected where machines
        rented later are already up (unless it is only slightly late), where machines of its type
        boot on time in another zone, or after `MAX_BOOT_MULTIPLE` boot times. Where all machines
        are late, every second one is expected, so that the number of machines rented twice stays
        bounded.
        """
        self.booting_on_time = {}
        self.overdue = {}
        late: list[tuple[RentedMachine, float]] = []
        expected: dict[str, bool] = {}
        for machine in self.machines.values():
            if not self._is_booting(machine):
                continue
            place = machine.pool[:2]
            boot_s = self._boot_time_s(place, now)
            age_s = now - machine.rented_at
            if age_s <= TYPICAL_BOOT_MULTIPLE * boot_s + BOOT_MARGIN_S:
                expected[machine.name] = True
                self.booting_on_time[place] = self.booting_on_time.get(place, 0) + 1
            elif self._later_machines_are_up(machine):
                expected[machine.name] = age_s <= 2.0 * boot_s + BOOT_MARGIN_S
            else:
                self.overdue[place] = self.overdue.get(place, 0) + 1
                late.append((machine, age_s / boot_s))
        written_off = 0.0
        for machine, boot_multiple in late:
            not_expected = (
                self._boots_on_time_in_other_zone(machine, now) or boot_multiple > MAX_BOOT_MULTIPLE
            )
            written_off += 1.0 if not_expected else 0.5
            expected[machine.name] = written_off < 1.0
            if written_off >= 1.0:
                written_off -= 1.0
        return expected

    def _boots_on_time_in_other_zone(self, machine: RentedMachine, now: float) -> bool:
        """Return whether machines of the same type boot on time in another zone."""
        return any(
            place[0] == machine.pool[0]
            and place != machine.pool[:2]
            and not self._boots_late(place, now)
            and boots
            and now - boots[-1][1] < BOOT_HISTORY_S
            for place, boots in self.boot_history.items()
        )
