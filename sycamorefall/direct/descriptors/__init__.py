"""Descriptors and memory of a VM, divided between what a router does there.

It is told what the VM has and how many peers there are, and is asked how many
connections of each kind there may be.
"""

__all__ = ["Division", "Vm", "apply_limits", "divide", "list_metrics"]

from sycamorefall.direct.descriptors.applying import apply_limits
from sycamorefall.direct.descriptors.figures import list_metrics
from sycamorefall.transport.division import Division, Vm, divide
