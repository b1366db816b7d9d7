"""The replicated state machine: tables, the operations that change them, and their stored forms.

`apply/` has what each operation does; `codec/` has the names in stored and transferred JSON.
"""
